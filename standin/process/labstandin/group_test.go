package labstandin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/standin/process/labstandin"
)

const testTimeout = 20 * time.Second

func startGroup(t testing.TB, change func(*labstandin.Group)) (*labstandin.Group, context.Context) {
	t.Helper()

	g := &labstandin.Group{Database: "rota", User: "lab", Password: "secret", Members: []labstandin.MemberConfig{
		{Name: "a", Slots: 2, Connections: 4},
		{Name: "b", Slots: 2, Connections: 4},
		{Name: "c", Slots: 2, Connections: 4},
	}}
	if change != nil {
		change(g)
	}

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	assert.NilError(t, g.Start(ctx))
	t.Cleanup(g.Stop)

	return g, ctx
}

func dial(ctx context.Context, g *labstandin.Group, member, password string) (*pgx.Conn, error) {
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://lab:%s@%s/rota?sslmode=prefer", password, g.Member(member).Address()))
	if err != nil {
		return nil, errors.Newf("connect: %w", err)
	}

	return c, nil
}

func connect(ctx context.Context, t *testing.T, g *labstandin.Group, member string) *pgx.Conn {
	t.Helper()

	c, err := dial(ctx, g, member, "secret")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })

	return c
}

func execute(ctx context.Context, t *testing.T, c *pgx.Conn, sql string, arguments ...any) {
	t.Helper()

	_, err := c.Exec(ctx, sql, arguments...)
	assert.NilError(t, err)
}

func assertCode(t *testing.T, err error, code string) {
	t.Helper()

	var e *pgconn.PgError

	assert.Assert(t, errors.As(err, &e), "no SQL error: %v", err)
	assert.Equal(t, e.Code, code)
}

func assertValue(t *testing.T, m *labstandin.Member, key, value string, writes int) {
	t.Helper()
	assert.Equal(t, m.Rows("notes")[key], labstandin.Row{Value: value, Writes: writes})
}

type reportedPosition struct {
	recovery           bool
	timeline           int
	replayed, received *string
}

func readPosition(ctx context.Context, t *testing.T, c *pgx.Conn) reportedPosition {
	t.Helper()

	var p reportedPosition

	assert.NilError(t, c.QueryRow(ctx, lab.PositionQuery).Scan(&p.recovery, &p.timeline, &p.replayed, &p.received))

	return p
}

// Guards against responses that differ from those that a standard client receives from PostgreSQL.
func TestStatements(t *testing.T) {
	g, ctx := startGroup(t, nil)
	c := connect(ctx, t, g, "a")

	t.Run("extended protocol", func(t *testing.T) {
		execute(ctx, t, c, "INSERT INTO notes (key, value) VALUES ($1, $2)", "k", "v")

		var key, value string

		assert.NilError(t, c.QueryRow(ctx, "SELECT * FROM notes WHERE key = $1", "k").Scan(&key, &value))
		assert.Equal(t, key+value, "kv")
	})
	t.Run("simple protocol", func(t *testing.T) {
		execute(ctx, t, c, "UPDATE notes SET value = 'w''' WHERE key = 'k'", pgx.QueryExecModeSimpleProtocol)
		assertValue(t, g.Member("a"), "k", "w'", 2)
	})
	t.Run("count", func(t *testing.T) {
		var n int64

		assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM notes").Scan(&n))
		assert.Equal(t, n, int64(1))
	})
	t.Run("series", func(t *testing.T) {
		r, err := c.Query(ctx, "SELECT * FROM generate_series(1, $1)", 100_000)
		assert.NilError(t, err)

		all, err := pgx.CollectRows(r, pgx.RowTo[int])
		assert.NilError(t, err)
		assert.Equal(t, len(all), 100_000)
		assert.Equal(t, all[99_999], 100_000)
	})
	t.Run("second insert", func(t *testing.T) {
		_, err := c.Exec(ctx, "INSERT INTO notes (key, value) VALUES ('k', 'x')")
		assertCode(t, err, "23505")
	})
	t.Run("syntax error", func(t *testing.T) {
		_, err := c.Exec(ctx, "SELECT key FROM notes ORDER BY key")
		assertCode(t, err, "42601")
	})
	t.Run("comment is recorded", func(t *testing.T) {
		execute(ctx, t, c, "/* name=1 */ SELECT 1 -- end")

		all := g.Member("a").Statements()
		assert.Equal(t, all[len(all)-1].SQL, "/* name=1 */ SELECT 1 -- end")
	})
}

// Guards against changes that other transactions see before the commit, or that remain after a rollback.
func TestTransactions(t *testing.T) {
	g, ctx := startGroup(t, nil)
	c := connect(ctx, t, g, "a")

	t.Run("rollback", func(t *testing.T) {
		execute(ctx, t, c, "BEGIN")
		execute(ctx, t, c, "INSERT INTO notes (key, value) VALUES ('r', 'v')")

		var n int64

		assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM notes").Scan(&n))
		assert.Equal(t, n, int64(1))
		assert.Equal(t, len(g.Member("a").Rows("notes")), 0)
		execute(ctx, t, c, "ROLLBACK")
		assert.Equal(t, len(g.Member("a").Rows("notes")), 0)
	})
	t.Run("commit", func(t *testing.T) {
		execute(ctx, t, c, "BEGIN")
		execute(ctx, t, c, "INSERT INTO notes (key, value) VALUES ('c', 'v')")
		execute(ctx, t, c, "UPDATE notes SET value = value || 'w' WHERE key = 'c'")
		execute(ctx, t, c, "COMMIT")
		assertValue(t, g.Member("a"), "c", "vw", 2)
	})
	t.Run("failed block", func(t *testing.T) {
		execute(ctx, t, c, "BEGIN READ ONLY")

		_, err := c.Exec(ctx, "DELETE FROM notes")
		assertCode(t, err, "25006")

		_, err = c.Exec(ctx, "SELECT 1")
		assertCode(t, err, "25P02")

		tag, err := c.Exec(ctx, "COMMIT")
		assert.NilError(t, err)
		assert.Equal(t, tag.String(), "ROLLBACK")
	})
}

// Guards against wrong WAL positions, which would invalidate every consistency check that uses the stand-in server.
func TestReplication(t *testing.T) {
	g, ctx := startGroup(t, func(g *labstandin.Group) {
		g.Members[1].Lag = 50 * time.Millisecond
		g.Members[2].Lag = time.Hour
	})
	a, b := connect(ctx, t, g, "a"), connect(ctx, t, g, "b")
	before := readPosition(ctx, t, a)
	execute(ctx, t, a, "INSERT INTO notes (key, value) VALUES ('k', 'v')")
	after := readPosition(ctx, t, a)

	t.Run("primary advances", func(t *testing.T) {
		assert.Equal(t, before.recovery, false)
		assert.Equal(t, *before.replayed, "0/3000000")
		assert.Equal(t, *after.replayed, "0/300003A")
		assert.Equal(t, after.timeline, 1)
	})
	t.Run("replica refuses writes", func(t *testing.T) {
		execute(ctx, t, b, "BEGIN")

		_, err := b.Exec(ctx, "INSERT INTO notes (key, value) VALUES ('x', 'v')")
		assertCode(t, err, "25006")
		execute(ctx, t, b, "ROLLBACK")
	})
	t.Run("replica follows with lag", func(t *testing.T) {
		for readPosition(ctx, t, b).replayed == nil || *readPosition(ctx, t, b).replayed != *after.replayed {
			assert.NilError(t, ctx.Err())
		}

		assertValue(t, g.Member("b"), "k", "v", 1)
		assert.Equal(t, len(g.Member("c").Rows("notes")), 0)
	})
	t.Run("receiver stops with the primary", func(t *testing.T) {
		g.Member("a").Kill()

		p := readPosition(ctx, t, b)
		assert.Equal(t, p.timeline, 1)
		assert.Equal(t, *p.received, *after.received)
	})
}

// Guards against a promotion that reuses a timeline, and against an old primary that loses its diverged records without
// a rewind.
func TestPromotion(t *testing.T) {
	g, ctx := startGroup(t, nil)
	a, b := connect(ctx, t, g, "a"), connect(ctx, t, g, "b")

	execute(ctx, t, a, "INSERT INTO notes (key, value) VALUES ('k', 'v')")
	g.Member("a").Isolate(true)
	execute(ctx, t, a, "INSERT INTO notes (key, value) VALUES ('lost', 'v')")

	var promoted bool

	assert.NilError(t, b.QueryRow(ctx, lab.PromoteQuery).Scan(&promoted))
	assert.Equal(t, promoted, true)

	t.Run("next timeline", func(t *testing.T) {
		p := readPosition(ctx, t, b)
		assert.Equal(t, p.recovery, false)
		assert.Equal(t, p.timeline, 2)
	})
	t.Run("switch point", func(t *testing.T) {
		var p string

		assert.NilError(t, b.QueryRow(ctx, lab.SwitchPointQuery).Scan(&p))
		assert.Equal(t, p, "0/300003A")
	})
	t.Run("second promotion", func(t *testing.T) {
		_, err := b.Exec(ctx, lab.PromoteQuery)
		assertCode(t, err, "55000")
	})
	t.Run("other replica follows", func(t *testing.T) {
		execute(ctx, t, b, "INSERT INTO notes (key, value) VALUES ('new', 'v')")
		assertValue(t, g.Member("c"), "new", "v", 1)
	})
	t.Run("divergent rejoin", func(t *testing.T) {
		g.Member("a").Isolate(false)
		assert.NilError(t, g.Member("a").Rejoin(false))
		assert.Equal(t, g.Member("a").State().Received.Term, lab.PrimaryTerm(1))
		assert.Equal(t, len(g.Member("a").Rows("notes")), 2)
		assertValue(t, g.Member("a"), "lost", "v", 1)
	})
	t.Run("rewound rejoin", func(t *testing.T) {
		assert.NilError(t, g.Member("a").Rejoin(true))
		assert.Equal(t, g.Member("a").State().Received, g.Member("b").State().Received)
		assertValue(t, g.Member("a"), "new", "v", 1)
		assertValue(t, g.Member("a"), "lost", "", 0)
	})
}
