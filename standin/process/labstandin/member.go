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
	setting MemberSetting
	context context.Context // of the group

	address     string // fixed at the first start
	listener    net.Listener
	running     bool
	incarnation uint64
	sessions    map[uint64]*session

	wal      []*record
	replayed int // records applied to rows
	rows     map[string]map[string]Row
	recovery bool
	switched bool // was promoted since the last start
	switchAt uint64

	lag       time.Duration
	replayLag time.Duration
	delay     time.Duration // before each answer
	isolated  bool          // from replication
	leaving   bool
	thaw      chan struct{} // closed when a frozen member continues; nil when it is not frozen
	drop      *dropRule

	counters   Counters
	busy       int // statements running now
	polls      int // the proxy's own queries running now
	statements []StatementRun
	overwrite  int // index of the oldest entry when statements is full
}

// Address returns the host:port of the PostgreSQL protocol; it stays the same over restarts.
func (m *Member) Address() string {
	return m.address
}

// Name returns the member's name.
func (m *Member) Name() string {
	return m.setting.Name
}

// Announcement returns what the member announces now.
func (m *Member) Announcement() lab.Announcement {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	return lab.Announcement{
		Database:         m.group.Database,
		Member:           m.setting.Name,
		Address:          m.address,
		Region:           m.setting.Region,
		AvailabilityZone: m.setting.AvailabilityZone,
		Incarnation:      m.incarnation,
		Slots:            m.setting.Slots,
		Connections:      m.setting.Connections,
		Draining:         m.leaving,
	}
}

// open listens and accepts connections under a new incarnation.
func (m *Member) open() error {
	address := m.address
	if address == "" {
		address = m.setting.Listen
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
	m.switched = false
	m.drop = nil

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

	g.connection++
	ctx, cancel := context.WithCancel(m.context)
	s := &session{
		member: m, conn: c, id: g.connection, context: ctx, cancel: cancel,
		statements: map[string]*prepared{}, portals: map[string]*portal{}, settings: map[string]string{},
	}
	m.sessions[s.id] = s

	return s
}

// awaitThaw waits while the member is frozen; it returns with the group's lock held.
func (m *Member) awaitThaw(ctx context.Context) error {
	for {
		m.group.lock.Lock()

		thaw := m.thaw
		if thaw == nil {
			return nil
		}

		m.group.lock.Unlock()

		select {
		case <-thaw:
		case <-ctx.Done():
			m.group.lock.Lock()
			return errClosed
		}
	}
}
