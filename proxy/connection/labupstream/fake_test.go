package labupstream

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// fakeUpstream answers the protocol with prepared statements as PostgreSQL does, apart from scripted statements.
type fakeUpstream struct {
	address string
	script  map[string]func(b *pgproto3.Backend) // by SQL text; a nil function drops the connection

	mute   bool // does not answer a login
	closed atomic.Int32

	positionParses atomic.Int32

	mu        sync.Mutex
	got       []string // message types and texts
	cancelled []uint32
}

func newFake(t *testing.T) *fakeUpstream {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })

	f := &fakeUpstream{address: listener.Addr().String(), script: map[string]func(*pgproto3.Backend){}}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer conn.Close()
				defer f.closed.Add(1)
				defer time.Sleep(10 * time.Millisecond)
				(&fakeBackend{fake: f, Backend: pgproto3.NewBackend(conn, conn), statements: map[string]string{}}).serve()
			}()
		}
	}()

	return f
}

func (f *fakeUpstream) log(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, text)
}

// take returns what was received since the last call.
func (f *fakeUpstream) take() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := strings.Join(f.got, " ")
	f.got = nil

	return got
}

type fakeBackend struct {
	*pgproto3.Backend
	fake       *fakeUpstream
	statements map[string]string
	bound      string
	failed     bool
}

func (b *fakeBackend) serve() {
	startup, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}

	if c, cancel := startup.(*pgproto3.CancelRequest); cancel {
		b.fake.mu.Lock()
		b.fake.cancelled = append(b.fake.cancelled, c.ProcessID)
		b.fake.mu.Unlock()

		return
	}

	if b.fake.mute {
		_, _ = b.Receive()

		return
	}

	b.Send(&pgproto3.AuthenticationCleartextPassword{})

	if b.Flush() != nil || b.SetAuthType(pgproto3.AuthTypeCleartextPassword) != nil {
		return
	}

	if p, err := b.Receive(); err != nil || p.(*pgproto3.PasswordMessage).Password != "secret" {
		return
	}

	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 42, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	for b.Flush() == nil {
		message, err := b.Receive()
		if err != nil || !b.handle(message) {
			return
		}
	}
}

func (b *fakeBackend) fail(code string) {
	b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "failed"})
	b.failed = true
}

func (b *fakeBackend) handle(message pgproto3.FrontendMessage) bool {
	if _, sync := message.(*pgproto3.Sync); b.failed && !sync {
		return true // skipped until Sync
	}

	switch m := message.(type) {
	case *pgproto3.Query:
		ok := b.statement(m.String)
		b.failed = false
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

		return ok
	case *pgproto3.Parse:
		if m.Query == lab.PositionQuery { // the connection's own queries are counted, not logged
			b.fake.positionParses.Add(1)
		} else {
			b.fake.log("parse:" + m.Name)
		}

		if _, found := b.statements[m.Name]; found && m.Name != "" {
			b.fail("42P05")
		} else if m.Query == "BAD" {
			b.fail("42601")
		} else {
			b.statements[m.Name] = m.Query
			b.Send(&pgproto3.ParseComplete{})
		}
	case *pgproto3.Close:
		b.fake.log("close:" + m.Name)
		delete(b.statements, m.Name)
		b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		query, found := b.statements[m.PreparedStatement]
		if !found {
			b.fail("26000")
		} else {
			b.bound = query
			b.Send(&pgproto3.BindComplete{})
		}
	case *pgproto3.Execute:
		return b.statement(b.bound)
	case *pgproto3.Sync:
		b.failed = false
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	case *pgproto3.Terminate:
		return false
	}

	return true
}

func (b *fakeBackend) statement(sql string) bool {
	if sql == lab.PositionQuery {
		b.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, 4)})
		b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("t"), []byte("3"), []byte("1/A"), []byte("1/B")}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})

		return true
	}

	if sql == "DISCARD ALL" {
		clear(b.statements)
	}

	b.fake.log("run:" + sql)

	script, found := b.fake.script[sql]
	if found && script == nil {
		return false
	}

	if found {
		script(b.Backend)

		return true
	}

	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("DONE")})

	return true
}

func (f *fakeUpstream) dial(t *testing.T) *Conn {
	t.Helper()

	d := Dialer{
		User: "lab", Password: "secret", ProgressTimeout: 100 * time.Millisecond, MessageLimit: 1 << 16,
	}
	c, err := d.Dial(context.Background(), f.address, "rota")
	assert.NilError(t, err)
	t.Cleanup(c.Abort)

	return c
}
