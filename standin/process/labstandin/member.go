package labstandin

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Member is one database server of a group. Its state is guarded by the group's lock.
type Member struct {
	group   *Group
	config  MemberConfig
	context context.Context // canceled when the group stops

	address     string // host:port, the same for all incarnations
	listener    net.Listener
	running     bool
	incarnation uint64 // number of the current start, beginning with 1
	sessions    map[uint64]*session

	wal          []*record
	replayed     int                       // number of WAL records applied to rows
	rows         map[string]map[string]Row // by table and key
	recovery     bool                      // whether the member is a replica
	promoted     bool                      // whether the member was promoted since its last start
	switchOffset uint64                    // WAL offset of the last promotion

	lag           time.Duration // see MemberConfig.Lag
	replayLag     time.Duration // see MemberConfig.ReplayLag
	responseDelay time.Duration // time before a response is sent
	isolated      bool          // does not send or receive WAL
	draining      bool          // announces that it is draining
	thawed        chan struct{} // closed when the member is thawed or killed; nil when it is not frozen
	dropRule      *dropRule

	counters          Counters
	runningStatements int            // statements that occupy a slot now
	runningInternal   int            // internal statements that run now
	statementRuns     []StatementRun // circular buffer of executed statements
	oldestRun         int            // index of the oldest entry of statementRuns
}

// Address returns the host:port of the PostgreSQL protocol, which stays the same when the member restarts.
func (m *Member) Address() string {
	return m.address
}

// Name returns the member's name.
func (m *Member) Name() string {
	return m.config.Name
}

// Announcement returns the member's current announcement.
func (m *Member) Announcement() lab.Announcement {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	return lab.Announcement{
		Database:         m.group.Database,
		Member:           m.config.Name,
		Address:          m.address,
		Region:           m.config.Region,
		AvailabilityZone: m.config.AvailabilityZone,
		Incarnation:      m.incarnation,
		Slots:            m.config.Slots,
		Connections:      m.config.Connections,
		Draining:         m.draining,
	}
}

// open starts a new incarnation that listens and accepts connections.
func (m *Member) open() error {
	address := m.address
	if address == "" {
		address = m.config.Listen
	}

	if address == "" {
		address = "127.0.0.1:0"
	}

	var c net.ListenConfig

	l, err := c.Listen(m.context, "tcp", address)
	if err != nil {
		return errors.Newf("listen: %w", err)
	}

	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.address = l.Addr().String()
	m.listener = l
	m.running = true
	m.incarnation++
	m.sessions = map[uint64]*session{}
	m.promoted = false
	m.dropRule = nil

	m.group.tasks.Go(func() { m.accept(l) })

	return nil
}

func (m *Member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}

		s := m.newSession(c)
		if s == nil {
			_ = c.Close()
			continue
		}

		m.group.tasks.Go(s.run)
	}
}

func (m *Member) newSession(c net.Conn) *session {
	g := m.group
	g.lock.Lock()
	defer g.lock.Unlock()

	if !m.running {
		return nil
	}

	g.lastConnectionID++
	ctx, cancel := context.WithCancel(m.context)
	s := &session{
		member: m, conn: c, id: g.lastConnectionID, context: ctx, cancel: cancel,
		preparedStatements: map[string]*preparedStatement{}, portals: map[string]*portal{}, settings: map[string]string{},
	}
	m.sessions[s.id] = s

	return s
}

// lockWhenThawed waits while the member is frozen and locks the group's lock. The caller must unlock it, also after an
// error.
func (m *Member) lockWhenThawed(ctx context.Context) error {
	for {
		m.group.lock.Lock()

		thawed := m.thawed
		if thawed == nil {
			return nil
		}

		m.group.lock.Unlock()

		select {
		case <-thawed:
		case <-ctx.Done():
			m.group.lock.Lock()
			return errClosed
		}
	}
}
