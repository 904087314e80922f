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
	incarnation uint64              // number of times that the member has started
	sessions    map[uint64]*session // open sessions by connection ID

	wal          []*record
	replayed     int                       // number of WAL records that are applied to rows
	rows         map[string]map[string]Row // committed rows by table and key
	recovery     bool                      // whether the member is a replica
	promoted     bool                      // whether the member was promoted since its last start
	switchOffset uint64                    // WAL offset at which the last promotion started a timeline

	lag           time.Duration // current value of MemberConfig.Lag, which SetLag changes
	replayLag     time.Duration // current value of MemberConfig.ReplayLag, which SetLag changes
	responseDelay time.Duration // delay before the member sends a response
	isolated      bool          // whether replication from and to the member is stopped
	draining      bool          // whether the member announces that it is draining
	thawed        chan struct{} // closed when the member is thawed or killed; nil when it is not frozen
	dropRule      *dropRule     // rule for closing a connection at a statement; nil for none

	counters          Counters
	runningStatements int            // number of running statements that occupy a slot
	runningInternal   int            // number of running internal statements
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

// lockWhenThawed waits while the member is frozen and then locks the group's lock. The caller must unlock it, also
// after an error.
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
