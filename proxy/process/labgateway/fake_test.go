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

// action is what a fake member does with a statement instead of running it normally.
type action int

const (
	actRun action = iota
	actDropBefore
	actDropAfter
	actStaySilent
	actCrossedResponse // sends an answer of another statement first
	actLateResponse    // sends another answer after the end of this one
	actCloseAfter      // closes the connection after the end of the answer
)

// fakeMember is a scripted upstream: it keeps what it committed and what it was asked.
type fakeMember struct {
	announcement lab.Announcement
	group        *fakeGroup
	listener     net.Listener

	mu          sync.Mutex
	recovery    bool
	term        lab.PrimaryTerm
	replayed    uint64
	received    uint64
	replicates  bool
	lag         time.Duration
	committed   []string
	statements  []string
	hook        func(sql string) action
	closeDelay  time.Duration // before a used connection and a cancel request's are closed
	resumeHeld  chan struct{} // a statement that begins with HOLD waits for it
	blocked     chan struct{} // connections with a number up to unfrozen wait for it, all if that is 0
	blockedUpTo int
	accepted    int
	running     int // statements
	maxRunning  int
	open        int
	maxOpen     int
	conns       map[net.Conn]struct{}
}

// fakeGroup is a database whose primary's commits reach the replicas that follow.
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

// block makes the member silent on old and new connections until the returned function is called.
func (m *fakeMember) block() (unblock func()) {
	blocked := make(chan struct{})
	m.update(func() { m.blocked = blocked })

	return sync.OnceFunc(func() { m.update(func() { m.blocked = nil }); close(blocked) })
}

// blockOpenConnections makes the open connections silent for good; new ones work.
func (m *fakeMember) blockOpenConnections(t *testing.T) {
	blocked := make(chan struct{})
	m.update(func() { m.blocked, m.blockedUpTo = blocked, m.accepted })
	t.Cleanup(func() { close(blocked) })
}

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
				slow := m.closeDelay
				m.mu.Unlock()
				time.Sleep(slow)
			}

			m.mu.Lock()
			m.open--
			delete(m.conns, conn)
			m.mu.Unlock()
			conn.Close()
		}()
	}
}

// commit appends writes and replicates them.
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
	used    bool
	number  int
	pending action // what is done after the position query behind the statement
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

// disturbConnection spoils the connection a little after the end of an answer.
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

	what := actRun
	if hook != nil {
		what = hook(sql)
	}

	switch what {
	case actDropBefore:
		return errDrop
	case actStaySilent:
		time.Sleep(5 * time.Second)

		return errDrop
	case actCrossedResponse:
		s.backend.Send(&pgproto3.CloseComplete{})
	case actRun, actDropAfter:
	case actLateResponse, actCloseAfter:
		s.pending = what
	}

	if strings.HasPrefix(sql, "HOLD") {
		<-m.resumeHeld
	}

	s.execute(sql, recovery)

	if what == actDropAfter {
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

// fakeControl is routes, lease and admission in one.
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

func (c *fakeControl) Grant(duty lab.GatewayRole) (lab.Grant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, found := c.grants[duty]

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

// changeDatabase replaces the catalog's state by a changed copy.
func (c *fakeControl) changeDatabase(change func(d *lab.Database)) {
	c.mu.Lock()
	defer c.mu.Unlock()

	next := *c.database
	next.Members = append([]lab.Announcement{}, next.Members...)
	next.Index++
	change(&next)
	c.database = &next
}

// fakeRegistry is a registry in memory.
type fakeRegistry struct {
	mu           sync.Mutex
	records      map[string]lab.IdempotencyRecord
	resolveCalls map[string]int // calls of Resolve
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
