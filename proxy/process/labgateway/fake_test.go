package labgateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

// action tells how a fake member handles a statement.
type action int

const (
	actRun             action = iota // runs the statement and responds
	actDropBefore                    // closes the connection without running the statement
	actDropAfter                     // closes the connection after running the statement
	actStaySilent                    // sends no response, and closes the connection after 5 s
	actCrossedResponse               // first sends a message that belongs to the response of another statement
	actLateResponse                  // sends a further message after the complete response
	actCloseAfter                    // closes the connection after the complete response
)

// fakeMember is a scripted upstream that records the statements it receives and the writes it commits.
type fakeMember struct {
	announcement lab.Announcement
	group        *fakeGroup
	listener     net.Listener

	mu          sync.Mutex
	recovery    bool
	term        lab.PrimaryTerm
	replayed    uint64
	received    uint64
	replicates  bool          // whether commits of other members are replicated to this one
	lag         time.Duration // delay of the replication to this member
	committed   []string
	statements  []string
	hook        func(sql string) action
	closeDelay  time.Duration // delay before closing a connection that carried a statement or a cancel request
	resumeHeld  chan struct{} // a statement that begins with HOLD waits until it can receive from this channel
	blocked     chan struct{} // if not nil, connections send nothing until this channel is closed
	blockedUpTo int           // highest number of a connection that is blocked; 0 blocks all connections
	accepted    int           // number of accepted connections; the n-th accepted connection has the number n
	running     int           // number of statements that are running
	maxRunning  int           // highest value of running so far
	open        int           // number of open connections
	maxOpen     int           // highest value of open so far
	conns       map[net.Conn]struct{}
}

// fakeGroup is a database group. What one member commits is replicated to the other members.
type fakeGroup struct {
	members []*fakeMember
}

func (g *fakeGroup) add(t *testing.T, name, region, zone string, recovery bool) *fakeMember {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	m := &fakeMember{
		announcement: lab.Announcement{
			Database: "rota", Member: name, Address: listener.Addr().String(), Region: region, AvailabilityZone: zone,
			Incarnation: 1, Slots: 3, Connections: 8,
		},
		group: g, listener: listener, recovery: recovery, term: 1, replayed: 100, received: 100, replicates: true,
		resumeHeld: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	g.members = append(g.members, m)

	go m.serve()
	t.Cleanup(m.kill)

	return m
}

func (m *fakeMember) kill() {
	m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()

	for c := range m.conns {
		c.Close()
	}
}

// block stops the member from sending on open and new connections until the returned function is called.
func (m *fakeMember) block() (unblock func()) {
	blocked := make(chan struct{})
	m.update(func() { m.blocked = blocked })

	return sync.OnceFunc(func() { m.update(func() { m.blocked = nil }); close(blocked) })
}

// blockOpenConnections stops the member from sending on the connections that are open now. New connections work.
func (m *fakeMember) blockOpenConnections(t *testing.T) {
	blocked := make(chan struct{})
	m.update(func() { m.blocked, m.blockedUpTo = blocked, m.accepted })
	t.Cleanup(func() { close(blocked) })
}

// waitWhileBlocked waits until the connection with the given number is not blocked.
func (m *fakeMember) waitWhileBlocked(number int) {
	m.mu.Lock()
	blocked := m.blocked
	if m.blockedUpTo > 0 && number > m.blockedUpTo {
		blocked = nil
	}
	m.mu.Unlock()

	if blocked != nil {
		<-blocked
	}
}

func (m *fakeMember) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *fakeMember) countCommitted(sql string) int {
	m.mu.Lock()
	defer m.mu.Unlock()

	count := 0

	for _, c := range m.committed {
		if c == sql {
			count++
		}
	}

	return count
}

func (m *fakeMember) wasSent(sql string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, a := range m.statements {
		if a == sql {
			return true
		}
	}

	return false
}

func (m *fakeMember) openConnections() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.open
}

func (m *fakeMember) serve() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}

		m.mu.Lock()
		m.open++
		m.maxOpen = max(m.maxOpen, m.open)
		m.accepted++
		number := m.accepted
		m.conns[conn] = struct{}{}
		m.mu.Unlock()

		go func() {
			s := &fakeSession{member: m, backend: pgproto3.NewBackend(conn, conn), status: 'I', number: number}
			s.run()

			if s.used {
				m.mu.Lock()
				delay := m.closeDelay
				m.mu.Unlock()
				time.Sleep(delay)
			}

			m.mu.Lock()
			m.open--
			delete(m.conns, conn)
			m.mu.Unlock()
			conn.Close()
		}()
	}
}

// commit records writes as committed and replicates them to the other members.
func (m *fakeMember) commit(writes []string) {
	if len(writes) == 0 {
		return
	}

	m.mu.Lock()
	m.committed = append(m.committed, writes...)
	m.replayed += 10
	m.received = m.replayed
	end := m.replayed
	m.mu.Unlock()

	for _, r := range m.group.members {
		if r != m {
			go r.replicate(end)
		}
	}
}

func (m *fakeMember) replicate(end uint64) {
	m.mu.Lock()
	lag, follows := m.lag, m.replicates
	m.mu.Unlock()

	if !follows {
		return
	}

	time.Sleep(lag)
	m.update(func() { m.replayed, m.received = max(m.replayed, end), max(m.received, end) })
}

// fakeSession is one connection to a fake member.
type fakeSession struct {
	member  *fakeMember
	backend *pgproto3.Backend
	status  byte
	writes  []string
	parsed  string
	used    bool   // the connection has carried a statement or a cancel request
	number  int    // position among the member's accepted connections, from 1
	pending action // action to take after the response to the next position query
}

var errDrop = errors.New("drop")

func (s *fakeSession) run() {
	startup, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}

	if _, cancel := startup.(*pgproto3.CancelRequest); cancel {
		s.used = true

		return
	}

	s.member.waitWhileBlocked(s.number)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	for s.backend.Flush() == nil {
		message, err := s.backend.Receive()
		s.member.waitWhileBlocked(s.number)

		if err != nil || s.handle(message) != nil {
			return
		}
	}
}

func (s *fakeSession) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		if err := s.runStatement(m.String); err != nil {
			return err
		}

		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})

		if m.String == lab.PositionQuery && s.pending != actRun {
			return s.disturbConnection()
		}
	case *pgproto3.Parse:
		s.parsed = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		return s.runStatement(s.parsed)
	case *pgproto3.Sync:
		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	case *pgproto3.Terminate:
		return errDrop
	}

	return nil
}

// disturbConnection is called after a complete response. It closes the connection, or sends an unexpected message after
// 10 ms.
func (s *fakeSession) disturbConnection() error {
	_ = s.backend.Flush()

	if s.pending == actCloseAfter {
		return errDrop
	}

	s.pending = actRun

	time.Sleep(10 * time.Millisecond)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("LATE")})

	return nil
}

func (s *fakeSession) runStatement(sql string) error {
	m := s.member
	if sql == lab.PositionQuery {
		s.sendPosition()

		return nil
	}

	s.used = true

	m.mu.Lock()
	m.statements = append(m.statements, sql)
	hook, recovery := m.hook, m.recovery
	m.running++
	m.maxRunning = max(m.maxRunning, m.running)
	m.mu.Unlock()

	defer m.update(func() { m.running-- })

	act := actRun
	if hook != nil {
		act = hook(sql)
	}

	switch act {
	case actDropBefore:
		return errDrop
	case actStaySilent:
		time.Sleep(5 * time.Second)

		return errDrop
	case actCrossedResponse:
		s.backend.Send(&pgproto3.CloseComplete{})
	case actRun, actDropAfter:
	case actLateResponse, actCloseAfter:
		s.pending = act
	}

	if strings.HasPrefix(sql, "HOLD") {
		<-m.resumeHeld
	}

	s.execute(sql, recovery)

	if act == actDropAfter {
		return errDrop
	}

	return nil
}

func (s *fakeSession) execute(sql string, recovery bool) {
	word, _, _ := strings.Cut(strings.TrimPrefix(sql, "HOLD "), " ")

	switch word {
	case "BEGIN":
		s.status = 'T'
	case "COMMIT":
		s.member.commit(s.writes)
		s.status, s.writes = 'I', nil
	case "ROLLBACK":
		s.status, s.writes = 'I', nil
	case "INSERT":
		if recovery {
			s.fail("25006")

			return
		}

		s.writes = append(s.writes, sql)
		if s.status == 'I' {
			s.member.commit(s.writes)
			s.writes = nil
		}

		word = "INSERT 0 1"
	case "SELECT":
		s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("sql")}}})
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})

		word = "SELECT 1"
	case "FAIL":
		s.fail("22012")

		return
	}

	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
}

func (s *fakeSession) fail(code string) {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "failed"})
	s.writes = nil

	if s.status == 'T' {
		s.status = 'E'
	}
}

func (s *fakeSession) sendPosition() {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()

	recovery := "f"
	if m.recovery {
		recovery = "t"
	}

	lsn := func(n uint64) []byte { return fmt.Appendf(nil, "%X/%X", n>>32, n&0xffffffff) }

	s.backend.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, 4)})
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{
		[]byte(recovery), fmt.Appendf(nil, "%d", m.term), lsn(m.replayed), lsn(m.received),
	}})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// fakeControl is the catalog, lease and admission of the gateway under test.
type fakeControl struct {
	mu       sync.Mutex
	database *lab.Database
	grants   map[lab.GatewayRole]lab.Grant
	slots    map[string]chan struct{}
}

func (c *fakeControl) Database(string) (*lab.Database, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.database, true
}

func (c *fakeControl) Organisation(string) (*lab.Organisation, bool) {
	return &lab.Organisation{Name: "hanko", Parameters: lab.Parameters{DrainGraceMS: 200}}, true
}

func (c *fakeControl) Version() (version, index uint64) { return 1, 1 }

func (c *fakeControl) Valid() bool { return true }

func (c *fakeControl) Grant(role lab.GatewayRole) (lab.Grant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, found := c.grants[role]

	return g, found
}

func (c *fakeControl) Acquire(ctx context.Context, member string, _ lab.AdmissionRequest) (func(), error) {
	c.mu.Lock()
	s := c.slots[member]
	c.mu.Unlock()

	if ctx.Err() != nil {
		return nil, lab.NotRunError(lab.ReasonOverload, ctx.Err())
	}

	select {
	case s <- struct{}{}:
		return sync.OnceFunc(func() { <-s }), nil
	case <-ctx.Done():
		return nil, lab.NotRunError(lab.ReasonOverload, ctx.Err())
	}
}

func (c *fakeControl) Resize(member string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if slots > 0 && c.slots[member] == nil {
		c.slots[member] = make(chan struct{}, slots)
	}
}

// setGrants replaces the lease's grants.
func (c *fakeControl) setGrants(grants ...lab.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.grants = map[lab.GatewayRole]lab.Grant{}
	for _, g := range grants {
		c.grants[g.Role] = g
	}
}

// changeDatabase replaces the database in the catalog with a changed copy.
func (c *fakeControl) changeDatabase(change func(d *lab.Database)) {
	c.mu.Lock()
	defer c.mu.Unlock()

	next := *c.database
	next.Members = append([]lab.Announcement{}, next.Members...)
	next.Index++
	change(&next)
	c.database = &next
}

// fakeRegistry is an idempotency registry in memory.
type fakeRegistry struct {
	mu           sync.Mutex
	records      map[string]lab.IdempotencyRecord
	resolveCalls map[string]int // number of calls of Resolve by idempotency key
}

func (o *fakeRegistry) Reserve(_ context.Context, _, _, name string, _ time.Duration) (lab.IdempotencyRecord, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if r, found := o.records[name]; found && r.State != lab.IdempotencyNotRun {
		return r, nil
	}

	o.records[name] = lab.IdempotencyRecord{State: lab.IdempotencyPending}

	return lab.IdempotencyRecord{State: lab.IdempotencyNew}, nil
}

func (o *fakeRegistry) Resolve(_ context.Context, _, _, name string, record lab.IdempotencyRecord) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records[name] = record
	o.resolveCalls[name]++

	return nil
}
