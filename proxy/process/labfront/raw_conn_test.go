package labfront_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// rawConn is a client connection on which a test sends and receives single protocol messages.
type rawConn struct {
	net.Conn
	*pgproto3.Frontend

	sqlState string // SQLSTATE of the last error received by exchange
}

func (x *fixture) dial(t *testing.T) *rawConn {
	t.Helper()

	c, err := net.Dial("tcp", x.listener.BoundAddress())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))

	return &rawConn{Conn: c, Frontend: pgproto3.NewFrontend(c, c)}
}

// login returns a connection after pgconn has authenticated on it.
func (x *fixture) login(t *testing.T) *rawConn {
	t.Helper()

	c, err := pgconn.Connect(context.Background(), x.url(""))
	assert.NilError(t, err)

	h, err := c.Hijack()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = h.Conn.Close() })
	assert.NilError(t, h.Conn.SetDeadline(time.Now().Add(20*time.Second)))

	return &rawConn{Conn: h.Conn, Frontend: pgproto3.NewFrontend(h.Conn, h.Conn)}
}

// exchange sends messages and returns the types of the response messages up to and including the given type.
func (r *rawConn) exchange(t *testing.T, until byte, messages ...pgproto3.FrontendMessage) string {
	t.Helper()

	for _, m := range messages {
		r.Send(m)
	}

	assert.NilError(t, r.Flush())

	var types []byte

	for len(types) == 0 || types[len(types)-1] != until {
		m, err := r.Receive()
		assert.NilError(t, err, "after %q", types)

		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			r.sqlState = e.Code
		}

		types = append(types, messageType(t, m)...)
	}

	return string(types)
}

// messageType returns the type of a message. For ReadyForQuery the transaction status precedes the type; for
// ParameterStatus the result is empty.
func messageType(t *testing.T, m pgproto3.BackendMessage) []byte {
	t.Helper()

	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		return nil
	case *pgproto3.ReadyForQuery:
		return []byte{m.TxStatus, 'Z'}
	}

	b, err := m.Encode(nil)
	assert.NilError(t, err)

	return b[:1]
}

// expectFatal asserts that the connection ends with a fatal error of the given SQLSTATE.
func (r *rawConn) expectFatal(t *testing.T, sqlState string) {
	t.Helper()

	for {
		m, err := r.Receive()
		assert.NilError(t, err)

		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			assert.Equal(t, e.Severity+" "+e.Code, "FATAL "+sqlState)

			_, err = r.Receive()
			assert.Assert(t, err != nil, "connection is still open")

			return
		}
	}
}

func sqlState(t *testing.T, err error) string {
	t.Helper()

	var e *pgconn.PgError
	assert.Assert(t, errors.As(err, &e), "%v", err)

	return e.Code
}
