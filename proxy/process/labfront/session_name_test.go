package labfront_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labfront"
)

const sessionName = "laburnumlock.session=0123456789abcdef"

// fakeMinPositions is a lab.MinPositionStore whose peers can become unreachable.
type fakeMinPositions struct {
	lock      sync.Mutex
	positions map[string]lab.WALPosition
	peersLost atomic.Bool
}

func (f *fakeMinPositions) Store(ctx context.Context, session, database string, position lab.WALPosition) error {
	f.lock.Lock()
	defer f.lock.Unlock()

	if f.peersLost.Load() {
		return errors.New("peers are unreachable")
	}

	if key := session + " " + database; position.Later(f.positions[key]) {
		f.positions[key] = position
	}

	return ctx.Err()
}

func (f *fakeMinPositions) Load(_ context.Context, session, database string) lab.StoredMinPosition {
	f.lock.Lock()
	defer f.lock.Unlock()

	p, found := f.positions[session+" "+database]

	return lab.StoredMinPosition{MinPosition: p, PrimaryOnly: f.peersLost.Load() || !found}
}

func (f *fakeMinPositions) storedOffset() uint64 {
	return f.Load(context.Background(), "hanko/0123456789abcdef", "rota").MinPosition.Offset
}

func startWithMinPositions(t *testing.T) (*fixture, *fakeMinPositions) {
	t.Helper()

	f := &fakeMinPositions{positions: map[string]lab.WALPosition{}}
	x := startFixture(t, func(l *labfront.Listener) {
		l.Server.MinPositions, l.Server.MinPositionTimeout = f, time.Second
	})

	return x, f
}

func execute(t *testing.T, c *pgx.Conn, sql string) {
	t.Helper()

	_, err := c.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
}

// assertRead executes a read and asserts whether it is routed to a replica, and the offset of its minimum position.
func assertRead(t *testing.T, x *fixture, c *pgx.Conn, replica bool, minOffset uint64) {
	t.Helper()
	execute(t, c, "select one")
	h := x.gateway.lastHeader()
	assert.Equal(t, h.ReadOnly, replica)
	assert.Equal(t, h.MinPosition.Offset, minOffset)
}

// Guards against a named session that misses its own writes after it has moved to another proxy.
func TestSessionName(t *testing.T) {
	t.Run("minimum position is loaded", func(t *testing.T) {
		x, f := startWithMinPositions(t)
		execute(t, x.connect(t, sessionName), "insert 1")
		assert.Equal(t, f.storedOffset(), uint64(1))
		assertRead(t, x, x.connect(t, sessionName), true, 1)
		waitUntil(t, func() bool { return f.storedOffset() == 2 }) // stored after the read
	})
	t.Run("write waits until its minimum position is stored, read does not", func(t *testing.T) {
		x, f := startWithMinPositions(t)
		c := x.connect(t, sessionName)
		execute(t, c, "select one")
		f.lock.Lock()
		execute(t, c, "select one")

		done := make(chan struct{})
		go func() {
			defer close(done)

			_, _ = c.Exec(context.Background(), "insert 1", pgx.QueryExecModeSimpleProtocol)
		}()

		select {
		case <-done:
			t.Fatal("the write was acknowledged before its minimum position was stored")
		case <-time.After(200 * time.Millisecond):
		}

		f.lock.Unlock()
		<-done
		assert.Equal(t, f.storedOffset(), uint64(3))
	})
	t.Run("peers unreachable at login", func(t *testing.T) {
		x, f := startWithMinPositions(t)
		execute(t, x.connect(t, sessionName), "insert 1")
		f.peersLost.Store(true)
		c := x.connect(t, sessionName)
		assertRead(t, x, c, false, 0)
		assertRead(t, x, c, true, 2) // the read on the primary returned its position
	})
	t.Run("peers unreachable at a write", func(t *testing.T) {
		x, f := startWithMinPositions(t)
		c := x.connect(t, sessionName)
		execute(t, c, "insert 1")
		f.peersLost.Store(true)
		execute(t, c, "insert 2")
		assert.Equal(t, x.server.Counters.MinPositionsNotStored.Value(), int64(1))
		assertRead(t, x, c, false, 2)
		f.peersLost.Store(false)
		waitUntil(t, func() bool {
			execute(t, c, "select one")

			return x.gateway.lastHeader().ReadOnly
		})
		assert.Assert(t, f.storedOffset() >= 2)
	})
	t.Run("same name of another organisation", func(t *testing.T) {
		x, _ := startWithMinPositions(t)
		x.catalog.lock.Lock()
		other := *x.catalog.organisations["hanko"]
		other.Name = "kotka"
		x.catalog.organisations["kotka"] = &other
		x.catalog.lock.Unlock()

		c, err := pgx.Connect(t.Context(), strings.Replace(x.url(sessionName), "hanko", "kotka", 1))
		assert.NilError(t, err)
		execute(t, c, "insert 1")
		assert.NilError(t, c.Close(t.Context()))
		assertRead(t, x, x.connect(t, sessionName), false, 0)
	})
	t.Run("short name", func(t *testing.T) {
		x, _ := startWithMinPositions(t)
		_, err := pgx.Connect(t.Context(), x.url("laburnumlock.session=0123456789abcde"))
		assert.Equal(t, sqlState(t, err), "22023")
	})
	t.Run("token instead", func(t *testing.T) {
		x, f := startWithMinPositions(t)
		c := x.connect(t, sessionName)
		execute(t, c, "insert 1")

		token := c.PgConn().ParameterStatus("laburnumlock.token")
		f.peersLost.Store(true)
		assertRead(t, x, x.connect(t, sessionName, "laburnumlock.token="+token), true, 1)
	})
}
