package labfront_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/process/labfront"
)

// Guards against a proxy that reports a user or database as unknown because it has not received the catalog yet.
func TestLoginBeforeCatalog(t *testing.T) {
	x := startFixture(t, func(l *labfront.Listener) { l.Server.Catalog.(*fakeCatalog).empty = true })

	_, err := pgx.Connect(context.Background(), x.url(""))
	assert.Equal(t, sqlState(t, err), "57P03")
}

// Guards against accepting clients that must be rejected, and against a wrong SQLSTATE for a rejection.
func TestLogin(t *testing.T) {
	x := startFixture(t, nil)
	refuses := func(old, replacement, want string) func(*testing.T) {
		return func(t *testing.T) {
			_, err := pgx.Connect(context.Background(), strings.Replace(x.url(""), old, replacement, 1))
			assert.Equal(t, sqlState(t, err), want)
		}
	}

	t.Run("wrong password", refuses("horse", "cow", "28P01"))
	t.Run("unknown user", refuses("hanko", "kotka", "28P01"))
	t.Run("unknown database", refuses("/rota", "/none", "3D000"))
	t.Run("replication", refuses("&", "&replication=database", "0A000"))
	t.Run("encoding", refuses("&", "&client_encoding=LATIN1", "0A000"))
	t.Run("read class", refuses("&", "&laburnumlock.read_class=none", "22023"))
	t.Run("token", refuses("&", "&laburnumlock.token=none", "22023"))
	t.Run("no user", func(t *testing.T) {
		r := x.dial(t)
		r.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"database": "rota"}})
		assert.NilError(t, r.Flush())
		r.expectFatal(t, "28000")
	})
	t.Run("no credentials", func(t *testing.T) {
		r := x.dial(t)
		r.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "hanko"}})
		assert.Equal(t, r.exchange(t, 'R'), "R")
		r.Send(&pgproto3.PasswordMessage{Password: password})
		assert.NilError(t, r.Flush())
		r.expectFatal(t, "28000")
	})
	t.Run("query before authentication", func(t *testing.T) {
		r := x.dial(t)
		r.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "hanko"}})
		r.Send(&pgproto3.Query{String: "select one"})
		assert.NilError(t, r.Flush())
		r.expectFatal(t, "08P01")
		assert.Equal(t, executions(x, "select one"), 0)
	})
	t.Run("no encryption, newer protocol", func(t *testing.T) {
		r := x.dial(t)

		for _, m := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
			r.Send(m)
			assert.NilError(t, r.Flush())

			b := make([]byte, 1)
			_, err := r.Read(b)
			assert.NilError(t, err)
			assert.Equal(t, b[0], byte('N'))
		}

		r.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608 + 9, Parameters: map[string]string{"user": "hanko", "_pq_.x": "1"}})
		assert.NilError(t, r.Flush())

		m, err := r.Receive()
		assert.NilError(t, err)

		v, ok := m.(*pgproto3.NegotiateProtocolVersion)
		assert.Assert(t, ok, "%T", m)
		assert.Equal(t, v.NewestMinorProtocol, uint32(196608+2))
		assert.DeepEqual(t, v.UnrecognizedOptions, []string{"_pq_.x"})
	})
	t.Run("protocol 3.2", func(t *testing.T) {
		c := x.connect(t, "max_protocol_version=3.2")
		assert.Equal(t, len(c.PgConn().SecretKey()), 16)
	})
}

// Guards against large buffers for malformed or oversized messages, and against executing any part of them.
func TestFrames(t *testing.T) {
	x := startFixture(t, func(l *labfront.Listener) { l.Server.MessageLimit = 1 << 20 })
	header := func(kind byte, length uint32) []byte {
		return binary.BigEndian.AppendUint32([]byte{kind}, length)
	}
	refusesFrame := func(open func(*fixture, *testing.T) *rawConn, want string, data []byte) func(*testing.T) {
		return func(t *testing.T) {
			r := open(x, t)
			_, err := r.Write(data)
			assert.NilError(t, err)
			r.expectFatal(t, want)
			assert.Equal(t, len(x.gateway.queries()), 0)
		}
	}

	t.Run("short length", refusesFrame((*fixture).login, "08P01", header('Q', 3)))
	t.Run("negative length", refusesFrame((*fixture).login, "08P01", header('Q', 1<<31)))
	t.Run("unknown type", refusesFrame((*fixture).login, "08P01", header('?', 4)))
	t.Run("over the limit", refusesFrame((*fixture).login, "54000", append(header('Q', 1<<20+1), make([]byte, 8<<20)...)))
	t.Run("startup over the limit", refusesFrame((*fixture).dial, "54000", header(0, 0x01000000)))
	t.Run("startup too short", refusesFrame((*fixture).dial, "08P01", []byte{0, 0, 0, 6, 0, 3}))
	t.Run("startup garbage", refusesFrame((*fixture).dial, "54000", []byte("GET / HTTP/1.1\r\n")))
	t.Run("protocol 2", refusesFrame((*fixture).dial, "0A000", []byte{0, 0, 0, 8, 0, 2, 0, 0}))
	t.Run("batch over the limit", func(t *testing.T) {
		r := x.login(t)
		large := &pgproto3.Parse{Query: "select '" + strings.Repeat("x", 600_000) + "'"}
		assert.Equal(t, r.exchange(t, 'Z', large, &pgproto3.Bind{Parameters: [][]byte{make([]byte, 600_000)}},
			&pgproto3.Bind{Parameters: [][]byte{make([]byte, 600_000)}}, &pgproto3.Sync{}), "EIZ")
	})
	t.Run("statements over the limit", func(t *testing.T) {
		r := x.login(t)

		for i := range 5 {
			s := &pgproto3.Parse{Name: fmt.Sprint(i), Query: "select '" + strings.Repeat("x", 900_000) + "'"}
			want := "1IZ"

			if i == 4 {
				want = "EIZ"
			}

			assert.Equal(t, r.exchange(t, 'Z', s, &pgproto3.Sync{}), want)
		}
	})
	t.Run("too many pipelined bytes", func(t *testing.T) {
		r := x.login(t)
		r.Send(&pgproto3.Query{String: "select block"})

		for range 4 {
			r.Send(&pgproto3.Query{String: "select '" + strings.Repeat("x", 900_000) + "'"})
		}

		go func() { _ = r.Flush() }()

		r.expectFatal(t, "54000")
	})
}

// Guards against connections that stay open without logging in.
func TestHalfOpen(t *testing.T) {
	x := startFixture(t, func(l *labfront.Listener) { l.StartupDeadline = 50 * time.Millisecond })
	c := x.connect(t)
	silent, partial := x.dial(t), x.dial(t)
	_, err := partial.Write([]byte{0, 0, 0, 50})
	assert.NilError(t, err)

	for _, r := range []*rawConn{silent, partial} {
		_, err = r.Receive()
		assert.Assert(t, err != nil)
	}

	assert.Equal(t, x.listener.Counters.StartupTimeouts.Value(), int64(2))
	returnsValue(c, "v", "select $1", "v")(t)
}

// Guards against accepting more connections than the limit, and against a wrong count after clients have disconnected.
func TestConnectionLimit(t *testing.T) {
	x := startFixture(t, func(l *labfront.Listener) { l.MaxConnections = 2 })
	first := x.connect(t)
	x.connect(t)

	_, err := pgx.Connect(context.Background(), x.url(""))
	assert.Equal(t, sqlState(t, err), "53300")
	assert.NilError(t, first.Close(context.Background()))
	waitUntil(t, func() bool { return x.listener.Counters.Open.Value() == 1 })
	x.connect(t)
}

// Guards against a listener that seems to run while another process has bound its port.
func TestAddressInUse(t *testing.T) {
	x := startFixture(t, nil)
	other := &labfront.Listener{ListenAddress: x.listener.BoundAddress(), Server: x.server, Log: zerolog.Nop()}
	assert.ErrorContains(t, other.Run(context.Background()), "address already in use")
	assert.ErrorIs(t, other.Drain(context.Background()), labfront.ErrNotRunning)
}

// Guards against executing requests of an open session after a configuration change has removed its organisation or
// database.
func TestConfigurationChange(t *testing.T) {
	failsAfter := func(want string, change func(*lab.Organisation)) func(*testing.T) {
		return func(t *testing.T) {
			x := startFixture(t, nil)
			c := x.connect(t)
			_, err := c.Exec(context.Background(), "insert 1")
			assert.NilError(t, err)
			x.catalog.updateOrganisation("hanko", change)
			_, err = c.Exec(context.Background(), "insert 2")
			assert.Equal(t, sqlState(t, err), want)
			assert.Equal(t, executions(x, "insert 2"), 0)
		}
	}

	t.Run("organisation", failsAfter("28000", func(o *lab.Organisation) { o.Deleted = true }))
	t.Run("database", failsAfter("3D000", func(o *lab.Organisation) { o.Databases = []string{"extra"} }))
}

// Guards against losing read-your-writes when a session moves to another proxy.
func TestTokenOnAnotherProxy(t *testing.T) {
	a, b := startFixture(t, nil), startFixture(t, nil)
	ctx := context.Background()
	a.gateway.update(func(g *fakeGateway) { g.offset = 41 })

	first := a.connect(t, "laburnumlock.session=s-1")
	_, err := first.Exec(ctx, "insert 1")
	assert.NilError(t, err)

	token := first.PgConn().ParameterStatus("laburnumlock.token")
	hasMinPosition := func(want uint64, c *pgx.Conn) func(*testing.T) {
		return func(t *testing.T) {
			returnsValue(c, "one", "select one", pgx.QueryExecModeSimpleProtocol)(t)
			assert.Equal(t, b.gateway.lastHeader().MinPosition, lab.WALPosition{Term: min(1, lab.PrimaryTerm(want)), Offset: want})
		}
	}

	t.Run("startup option", hasMinPosition(42, b.connect(t, "laburnumlock.token="+token)))
	t.Run("command-line option", hasMinPosition(42, b.connect(t, "options=-c%20laburnumlock.token%3D"+token)))
	t.Run("none", hasMinPosition(0, b.connect(t)))
	t.Run("set", func(t *testing.T) {
		c := b.connect(t)
		_, err := c.Exec(ctx, "set laburnumlock.token = '"+token+"'")
		assert.NilError(t, err)
		hasMinPosition(42, c)(t)
	})
	t.Run("set to an older token", func(t *testing.T) {
		older := a.connect(t).PgConn().ParameterStatus("laburnumlock.token")
		c := b.connect(t, "laburnumlock.token="+token)
		_, err := c.Exec(ctx, "set laburnumlock.token = '"+older+"'")
		assert.NilError(t, err)
		hasMinPosition(42, c)(t)
	})
	t.Run("set to a bad token", func(t *testing.T) {
		_, err := b.connect(t).Exec(ctx, "set laburnumlock.token = '"+token[1:]+"'")
		assert.Equal(t, sqlState(t, err), "22023")
	})
	t.Run("the minimum position never decreases", func(t *testing.T) {
		c := b.connect(t, "laburnumlock.token="+token)
		_, err := c.Exec(ctx, "insert 2") // at a position before the minimum position
		assert.NilError(t, err)
		hasMinPosition(42, c)(t)
		assert.Equal(t, c.PgConn().ParameterStatus("laburnumlock.token"), token)
	})
	t.Run("session id", func(t *testing.T) {
		d, err := (&labtoken.Codec{Keys: [][]byte{[]byte("deployment key")}}).Decode(token)
		assert.NilError(t, err)
		assert.Equal(t, d.SessionID(), "s-1")
	})
}

// Guards against a request that can't be cancelled, and against cancelling with a wrong key.
func TestCancel(t *testing.T) {
	x := startFixture(t, nil)
	c := x.connect(t)

	cancelsBlocked := func(t *testing.T, cancel func(*pgconn.PgConn)) {
		t.Helper()

		n := executions(x, "select block")

		go func() {
			for executions(x, "select block") == n {
				time.Sleep(time.Millisecond)
			}

			cancel(c.PgConn())
		}()

		_, err := c.Exec(context.Background(), "select block")
		assert.Equal(t, sqlState(t, err), "57014")
		returnsValue(c, "v", "select $1", "v")(t)
	}

	t.Run("cancel", func(t *testing.T) {
		cancelsBlocked(t, func(p *pgconn.PgConn) { _ = p.CancelRequest(context.Background()) })
	})
	t.Run("wrong key", func(t *testing.T) {
		cancelsBlocked(t, func(p *pgconn.PgConn) {
			r := x.dial(t)
			r.Send(&pgproto3.CancelRequest{ProcessID: p.PID(), SecretKey: []byte("none")})
			_ = r.Flush()
			waitUntil(t, func() bool { return x.server.Counters.CancelsLost.Value() == 1 })
			_ = p.CancelRequest(context.Background())
		})
	})
	t.Run("while waiting for a gateway", func(t *testing.T) {
		waiting := make(chan struct{})
		block := func(ctx context.Context) error {
			close(waiting)
			<-ctx.Done()

			return lab.NotRunError(lab.ReasonCancelled, ctx.Err())
		}
		x.gateway.blockBegin.Store(&block)

		go func() {
			<-waiting
			_ = c.PgConn().CancelRequest(context.Background())
		}()

		_, err := c.Exec(context.Background(), "insert waiting")
		assert.Equal(t, sqlState(t, err), "57014")
		assert.Equal(t, executions(x, "insert waiting"), 0)
	})
	t.Run("another proxy's key", func(t *testing.T) {
		forwarded := make(chan uint32, 1)
		y := startFixture(t, func(l *labfront.Listener) { l.Server.ForwardCancel = sendProxyTo(forwarded) })
		r := y.dial(t)
		r.Send(&pgproto3.CancelRequest{ProcessID: c.PgConn().PID() + 1<<19, SecretKey: c.PgConn().SecretKey()})
		assert.NilError(t, r.Flush())
		assert.Equal(t, <-forwarded, uint32(8))
	})
}
