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

// raw is a connection on which a test sends protocol messages itself.
type raw struct {
	net.Conn
	*pgproto3.Frontend

	code string // SQLSTATE of the last error received by ask
}

func (x *fixture) dial(t *testing.T) *raw {
	t.Helper()

	c, err := net.Dial("tcp", x.front.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))

	return &raw{Conn: c, Frontend: pgproto3.NewFrontend(c, c)}
}

// login returns a connection that pgconn has authenticated.
func (x *fixture) login(t *testing.T) *raw {
	t.Helper()

	c, err := pgconn.Connect(context.Background(), x.url(""))
	assert.NilError(t, err)

	h, err := c.Hijack()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = h.Conn.Close() })
	assert.NilError(t, h.Conn.SetDeadline(time.Now().Add(20*time.Second)))

	return &raw{Conn: h.Conn, Frontend: pgproto3.NewFrontend(h.Conn, h.Conn)}
}

// ask sends messages and returns the types of the answers up to the given one.
func (r *raw) ask(t *testing.T, until byte, messages ...pgproto3.FrontendMessage) string {
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
			r.code = e.Code
		}

		types = append(types, kind(t, m)...)
	}

	return string(types)
}

// kind returns a message's type, with the state of ReadyForQuery before it; parameter reports are left out.
func kind(t *testing.T, m pgproto3.BackendMessage) []byte {
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

// fails reports that the connection ends with a fatal error of the given code.
func (r *raw) fails(t *testing.T, code string) {
	t.Helper()

	for {
		m, err := r.Receive()
		assert.NilError(t, err)

		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			assert.Equal(t, e.Severity+" "+e.Code, "FATAL "+code)

			_, err = r.Receive()
			assert.Assert(t, err != nil, "connection is still open")

			return
		}
	}
}

func code(t *testing.T, err error) string {
	t.Helper()

	var e *pgconn.PgError
	assert.Assert(t, errors.As(err, &e), "%v", err)

	return e.Code
}
