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

// fakeFloors is a lab.FloorStore whose peers can be lost.
type fakeFloors struct {
	lock   sync.Mutex
	floors map[string]lab.Position
	lost   atomic.Bool
}

func (f *fakeFloors) Keep(ctx context.Context, session, database string, floor lab.Position) error {
	f.lock.Lock()
	defer f.lock.Unlock()

	if f.lost.Load() {
		return errors.New("peers lost")
	}

	if key := session + " " + database; floor.Later(f.floors[key]) {
		f.floors[key] = floor
	}

	return ctx.Err()
}

func (f *fakeFloors) Recall(_ context.Context, session, database string) lab.RecalledFloor {
	f.lock.Lock()
	defer f.lock.Unlock()

	p, found := f.floors[session+" "+database]

	return lab.RecalledFloor{Floor: p, Primary: f.lost.Load() || !found}
}

func (f *fakeFloors) kept() uint64 {
	return f.Recall(context.Background(), "hanko/0123456789abcdef", "rota").Floor.Offset
}

func startRoaming(t *testing.T) (*fixture, *fakeFloors) {
	t.Helper()

	f := &fakeFloors{floors: map[string]lab.Position{}}
	x := start(t, func(front *labfront.Front) {
		front.Server.MinPositions, front.Server.MinPositionTimeout = f, time.Second
	})

	return x, f
}

func run(t *testing.T, c *pgx.Conn, sql string) {
	t.Helper()

	_, err := c.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
}

// reads asserts where the next read goes and with which floor.
func reads(t *testing.T, x *fixture, c *pgx.Conn, replica bool, floor uint64) {
	t.Helper()
	run(t, c, "select one")
	h := x.gateway.lastHeader()
	assert.Equal(t, h.ReadOnly, replica)
	assert.Equal(t, h.Floor.Offset, floor)
}

// Guards against a session without a token that misses its own writes after it moved.
func TestSessionName(t *testing.T) {
	t.Run("floor is recalled", func(t *testing.T) {
		x, f := startRoaming(t)
		run(t, x.connect(t, sessionName), "insert 1")
		assert.Equal(t, f.kept(), uint64(1))
		reads(t, x, x.connect(t, sessionName), true, 1)
		eventually(t, func() bool { return f.kept() == 2 }) // of the read
	})
	t.Run("write waits for its floor, read does not", func(t *testing.T) {
		x, f := startRoaming(t)
		c := x.connect(t, sessionName)
		run(t, c, "select one")
		f.lock.Lock()
		run(t, c, "select one")

		done := make(chan struct{})
		go func() {
			defer close(done)

			_, _ = c.Exec(context.Background(), "insert 1", pgx.QueryExecModeSimpleProtocol)
		}()

		select {
		case <-done:
			t.Fatal("the write was answered before its floor was kept")
		case <-time.After(200 * time.Millisecond):
		}

		f.lock.Unlock()
		<-done
		assert.Equal(t, f.kept(), uint64(3))
	})
	t.Run("peers lost at login", func(t *testing.T) {
		x, f := startRoaming(t)
		run(t, x.connect(t, sessionName), "insert 1")
		f.lost.Store(true)
		c := x.connect(t, sessionName)
		reads(t, x, c, false, 0)
		reads(t, x, c, true, 2) // the primary told its position
	})
	t.Run("peers lost at a write", func(t *testing.T) {
		x, f := startRoaming(t)
		c := x.connect(t, sessionName)
		run(t, c, "insert 1")
		f.lost.Store(true)
		run(t, c, "insert 2")
		assert.Equal(t, x.server.Counters.MinPositionsNotStored.Value(), int64(1))
		reads(t, x, c, false, 2)
		f.lost.Store(false)
		eventually(t, func() bool {
			run(t, c, "select one")

			return x.gateway.lastHeader().ReadOnly
		})
		assert.Assert(t, f.kept() >= 2)
	})
	t.Run("same name of another organisation", func(t *testing.T) {
		x, _ := startRoaming(t)
		x.routes.lock.Lock()
		other := *x.routes.organisations["hanko"]
		other.Name = "kotka"
		x.routes.organisations["kotka"] = &other
		x.routes.lock.Unlock()

		c, err := pgx.Connect(t.Context(), strings.Replace(x.url(sessionName), "hanko", "kotka", 1))
		assert.NilError(t, err)
		run(t, c, "insert 1")
		assert.NilError(t, c.Close(t.Context()))
		reads(t, x, x.connect(t, sessionName), false, 0)
	})
	t.Run("short name", func(t *testing.T) {
		x, _ := startRoaming(t)
		_, err := pgx.Connect(t.Context(), x.url("laburnumlock.session=0123456789abcde"))
		assert.Equal(t, code(t, err), "22023")
	})
	t.Run("token instead", func(t *testing.T) {
		x, f := startRoaming(t)
		c := x.connect(t, sessionName)
		run(t, c, "insert 1")

		token := c.PgConn().ParameterStatus("laburnumlock.token")
		f.lost.Store(true)
		reads(t, x, x.connect(t, sessionName, "laburnumlock.token="+token), true, 1)
	})
}
