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
	context context.Context // of the group

	address     string // fixed at the first start
	listener    net.Listener
	running     bool
	incarnation uint64
	sessions    map[uint64]*session

	wal          []*record
	replayed     int // records applied to rows
	rows         map[string]map[string]Row
	recovery     bool
	promoted     bool // was promoted since the last start
	switchOffset uint64

	lag           time.Duration
	replayLag     time.Duration
	responseDelay time.Duration // before each answer
	isolated      bool          // from replication
	draining      bool
	thawed        chan struct{} // closed when a frozen member continues; nil when it is not frozen
	dropRule      *dropRule

	counters          Counters
	runningStatements int // statements running now
	runningInternal   int // the proxy's own queries running now
	statementRuns     []StatementRun
	oldestRun         int // index of the oldest entry when statements is full
}

// Address returns the host:port of the PostgreSQL protocol; it stays the same over restarts.
func (m *Member) Address() string {
	return m.address
}

// Name returns the member's name.
func (m *Member) Name() string {
	return m.config.Name
}

// Announcement returns what the member announces now.
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

// open listens and accepts connections under a new incarnation.
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

// lockWhenThawed waits while the member is frozen; it returns with the group's lock held.
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
