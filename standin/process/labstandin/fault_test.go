package labstandin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/standin/process/labstandin"
)

const shortWait = 100 * time.Millisecond

// assertNoResponse runs a statement that must not get a response within shortWait.
func assertNoResponse(ctx context.Context, t *testing.T, c *pgx.Conn, sql string) {
	t.Helper()

	ctx, cancel := context.WithTimeout(ctx, shortWait)
	defer cancel()

	_, err := c.Exec(ctx, sql)
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
}

// freezeDuringStatement freezes a member as soon as its first statement occupies a slot.
func freezeDuringStatement(m *labstandin.Member) {
	for m.Counters().MaxSlots == 0 {
		time.Sleep(time.Millisecond)
	}

	m.Freeze()
}

// Guards against injected faults whose effect differs from their documentation, which would make all tests with faults
// meaningless.
func TestFaults(t *testing.T) {
	insert := "INSERT INTO notes (key, value) VALUES ('k', 'v')"

	t.Run("kill and restart", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c, m := connect(ctx, t, g, "a"), g.Member("a")
		execute(ctx, t, c, insert)
		execute(ctx, t, c, "BEGIN")
		execute(ctx, t, c, "DELETE FROM notes")
		m.Kill()

		_, err := c.Exec(ctx, "COMMIT")
		assert.Assert(t, err != nil)

		_, err = dial(ctx, g, "a", "secret")
		assert.Assert(t, err != nil)
		assert.NilError(t, m.Restart())
		assertValue(t, m, "k", "v", 1)
		connect(ctx, t, g, "a")
		assert.Equal(t, m.Announcement().Incarnation, uint64(2))
		assert.Equal(t, m.Counters().OpenConnections, 1)
	})
	t.Run("kill during a statement", func(t *testing.T) {
		g, ctx := startGroup(t, func(g *labstandin.Group) { g.StatementCost = shortWait })
		c, m := connect(ctx, t, g, "a"), g.Member("a")
		time.AfterFunc(shortWait/2, m.Kill)

		_, err := c.Exec(ctx, insert, pgx.QueryExecModeSimpleProtocol)
		assert.Assert(t, err != nil)
		time.Sleep(shortWait)
		assert.Equal(t, len(m.Rows("notes")), 0)
		assert.Equal(t, m.Statements()[0].Code, "closed")
	})
	t.Run("kill of a frozen member", func(t *testing.T) {
		const cost = 100 * time.Millisecond

		// Whether a commit wrongly continues after the kill depends on a race, so the test runs several rounds.
		for range 8 {
			g, ctx := startGroup(t, func(g *labstandin.Group) { g.StatementCost = cost })
			m := g.Member("a")
			c := connect(ctx, t, g, "a")

			go func() {
				freezeDuringStatement(m)
				time.AfterFunc(2*cost, m.Kill)
			}()

			_, err := c.Exec(ctx, insert, pgx.QueryExecModeSimpleProtocol)
			assert.Assert(t, err != nil)
			time.Sleep(cost)
			assert.Equal(t, len(m.Rows("notes")), 0)
			assert.NilError(t, m.Restart())
		}
	})
	t.Run("freeze", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c, m := connect(ctx, t, g, "a"), g.Member("a")
		m.Freeze()
		assertNoResponse(ctx, t, c, insert)

		short, cancel := context.WithTimeout(ctx, shortWait)
		defer cancel()

		_, err := dial(short, g, "a", "secret")
		assert.Assert(t, err != nil)
		assert.Equal(t, len(m.Rows("notes")), 0)
		m.Thaw()
		connect(ctx, t, g, "a")
	})
	t.Run("silence", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c, m := connect(ctx, t, g, "a"), g.Member("a")
		m.MakeConnectionsUnresponsive()
		assertNoResponse(ctx, t, c, insert)
		assert.Equal(t, len(m.Rows("notes")), 0)
		execute(ctx, t, connect(ctx, t, g, "a"), insert)
	})
	t.Run("drop before", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c, m := connect(ctx, t, g, "a"), g.Member("a")
		m.DropBefore("INSERT")
		execute(ctx, t, c, "SELECT 1")

		_, err := c.Exec(ctx, insert)
		assert.Assert(t, err != nil)
		assert.Equal(t, len(m.Rows("notes")), 0)
	})
	t.Run("drop after", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c, m := connect(ctx, t, g, "a"), g.Member("a")
		m.DropAfter("INSERT")

		_, err := c.Exec(ctx, insert)
		assert.Assert(t, err != nil)
		assertValue(t, m, "k", "v", 1)
	})
	t.Run("delay", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c := connect(ctx, t, g, "a")
		g.Member("a").SetResponseDelay(shortWait)

		began := time.Now()
		_, err := c.Exec(ctx, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) >= shortWait)
	})
	t.Run("cancel", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		c := connect(ctx, t, g, "a")
		time.AfterFunc(shortWait, func() { _ = c.PgConn().CancelRequest(ctx) })

		_, err := c.Exec(ctx, "SELECT pg_sleep(15)")
		assertCode(t, err, "57014")
		execute(ctx, t, c, "SELECT 1")
	})
	t.Run("isolated replica", func(t *testing.T) {
		g, ctx := startGroup(t, nil)
		g.Member("b").Isolate(true)
		execute(ctx, t, connect(ctx, t, g, "a"), insert)
		assert.Equal(t, len(g.Member("b").Rows("notes")), 0)
		g.Member("b").Isolate(false)
		assertValue(t, g.Member("b"), "k", "v", 1)
	})
}

// Guards against a password or connection limit that is not enforced, and against slots that are not counted.
func TestLimits(t *testing.T) {
	g, ctx := startGroup(t, func(g *labstandin.Group) { g.StatementCost = shortWait })

	t.Run("wrong password", func(t *testing.T) {
		_, err := dial(ctx, g, "a", "wrong")
		assertCode(t, err, "28P01")
	})
	t.Run("connections", func(t *testing.T) {
		for range 4 {
			connect(ctx, t, g, "a")
		}

		_, err := dial(ctx, g, "a", "secret")
		assertCode(t, err, "53300")
		assert.Equal(t, g.Member("a").Counters().MaxOpenConnections, 4)
		assert.Equal(t, g.Member("a").Counters().RejectedConnections, uint64(1))
	})
	t.Run("slots", func(t *testing.T) {
		var tasks sync.WaitGroup

		for range 3 {
			c := connect(ctx, t, g, "b")

			tasks.Go(func() { _, _ = c.Exec(ctx, "SELECT 1") })
		}

		tasks.Wait()
		assert.Equal(t, g.Member("b").Counters().MaxSlots, 3)
	})
}

// Guards against announcements that stop because one receiver refuses them, or continue after the member is killed.
func TestAnnouncements(t *testing.T) {
	received := make(chan lab.Announcement, 100)
	refusing := httptest.NewServer(http.NotFoundHandler())
	accepting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a lab.Announcement

		if r.URL.Path == "/v1/announcements" && json.NewDecoder(r.Body).Decode(&a) == nil {
			received <- a
		}
	}))

	t.Cleanup(refusing.Close)
	t.Cleanup(accepting.Close)

	g, _ := startGroup(t, func(g *labstandin.Group) {
		g.AnnounceURLs = []string{refusing.URL, accepting.URL}
		g.AnnounceInterval = shortWait
		g.Members = g.Members[:1]
	})
	assert.DeepEqual(t, <-received, g.Member("a").Announcement())
	g.Member("a").SetDraining(true)

	for !(<-received).Draining {
	}

	g.Member("a").Kill()
	time.Sleep(shortWait)

	for len(received) > 0 {
		<-received
	}

	time.Sleep(3 * shortWait)
	assert.Equal(t, len(received), 0)
}
