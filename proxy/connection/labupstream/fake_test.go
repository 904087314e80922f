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

// fakeUpstream is a server that handles the messages of the protocol, with prepared statements, as PostgreSQL does. A
// statement completes without rows unless scripts has a response for it.
type fakeUpstream struct {
	address string
	scripts map[string]func(b *pgproto3.Backend) // responses by SQL text; nil closes the connection

	ignoresLogin bool         // does not respond to the startup message
	closedConns  atomic.Int32 // number of connections that the server has closed

	positionParses atomic.Int32 // number of Parse messages with the position query

	mu                  sync.Mutex
	received            []string // "parse:NAME", "close:NAME" and "run:SQL", in order
	cancelledProcessIDs []uint32 // process IDs in the received cancel requests
}

func newFakeUpstream(t *testing.T) *fakeUpstream {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })

	f := &fakeUpstream{address: listener.Addr().String(), scripts: map[string]func(*pgproto3.Backend){}}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer conn.Close()
				defer f.closedConns.Add(1)
				defer time.Sleep(10 * time.Millisecond)
				(&fakeBackend{upstream: f, Backend: pgproto3.NewBackend(conn, conn), statements: map[string]string{}}).serve()
			}()
		}
	}()

	return f
}

func (f *fakeUpstream) record(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, text)
}

// takeReceived returns the messages that were received since the last call.
func (f *fakeUpstream) takeReceived() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := strings.Join(f.received, " ")
	f.received = nil

	return got
}

type fakeBackend struct {
	*pgproto3.Backend
	upstream    *fakeUpstream
	statements  map[string]string
	boundQuery  string
	skipsToSync bool
}

func (b *fakeBackend) serve() {
	startup, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}

	if c, cancel := startup.(*pgproto3.CancelRequest); cancel {
		b.upstream.mu.Lock()
		b.upstream.cancelledProcessIDs = append(b.upstream.cancelledProcessIDs, c.ProcessID)
		b.upstream.mu.Unlock()

		return
	}

	if b.upstream.ignoresLogin {
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
		if err != nil || !b.handleMessage(message) {
			return
		}
	}
}

func (b *fakeBackend) sendError(code string) {
	b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "failed"})
	b.skipsToSync = true
}

func (b *fakeBackend) handleMessage(message pgproto3.FrontendMessage) bool {
	if _, sync := message.(*pgproto3.Sync); b.skipsToSync && !sync {
		return true // after an error, messages are ignored until Sync
	}

	switch m := message.(type) {
	case *pgproto3.Query:
		ok := b.execute(m.String)
		b.skipsToSync = false
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

		return ok
	case *pgproto3.Parse:
		if m.Query == lab.PositionQuery { // position queries are counted, not recorded
			b.upstream.positionParses.Add(1)
		} else {
			b.upstream.record("parse:" + m.Name)
		}

		if _, found := b.statements[m.Name]; found && m.Name != "" {
			b.sendError("42P05")
		} else if m.Query == "BAD" {
			b.sendError("42601")
		} else {
			b.statements[m.Name] = m.Query
			b.Send(&pgproto3.ParseComplete{})
		}
	case *pgproto3.Close:
		b.upstream.record("close:" + m.Name)
		delete(b.statements, m.Name)
		b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		query, found := b.statements[m.PreparedStatement]
		if !found {
			b.sendError("26000")
		} else {
			b.boundQuery = query
			b.Send(&pgproto3.BindComplete{})
		}
	case *pgproto3.Execute:
		return b.execute(b.boundQuery)
	case *pgproto3.Sync:
		b.skipsToSync = false
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	case *pgproto3.Terminate:
		return false
	}

	return true
}

func (b *fakeBackend) execute(sql string) bool {
	if sql == lab.PositionQuery {
		b.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, 4)})
		b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("t"), []byte("3"), []byte("1/A"), []byte("1/B")}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})

		return true
	}

	if sql == "DISCARD ALL" {
		clear(b.statements)
	}

	b.upstream.record("run:" + sql)

	script, found := b.upstream.scripts[sql]
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
