package labstandin_test

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/standin/process/labstandin"
)

// exchange sends messages and receives responses until it has received the given number of ReadyForQuery messages. It
// returns one byte per response. The byte is the transaction status of a ReadyForQuery message, 0 for a type that no
// test checks, and the type of any other response.
func exchange(t *testing.T, c *pgx.Conn, ready int, messages ...pgproto3.FrontendMessage) string {
	t.Helper()

	f := c.PgConn().Frontend()
	for _, m := range messages {
		f.Send(m)
	}

	assert.NilError(t, f.Flush())

	var responses []byte

	for ready > 0 {
		m, err := f.Receive()
		assert.NilError(t, err)

		kind := map[bool]byte{true: 'E'}[isError(m)]

		switch m := m.(type) {
		case *pgproto3.ParseComplete:
			kind = '1'
		case *pgproto3.BindComplete:
			kind = '2'
		case *pgproto3.DataRow:
			kind = 'D'
		case *pgproto3.CommandComplete:
			kind = 'C'
		case *pgproto3.PortalSuspended:
			kind = 's'
		case *pgproto3.ReadyForQuery:
			kind = m.TxStatus
			ready--
		}

		responses = append(responses, kind)
	}

	return string(responses)
}

func isError(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.ErrorResponse)
	return ok
}

// Guards against a stand-in server that accepts pipelined messages which PostgreSQL would reject or skip.
func TestPipeline(t *testing.T) {
	g, ctx := startGroup(t, nil)
	c := connect(ctx, t, g, "a")
	parse := func(sql string) pgproto3.FrontendMessage { return &pgproto3.Parse{Query: sql} }
	bind, run, sync := &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}
	insert := parse("INSERT INTO notes (key, value) VALUES ('k', 'v')")

	t.Run("error skips to sync and rolls back", func(t *testing.T) {
		got := exchange(t, c, 2, insert, bind, run, parse("bad"), bind, run, sync, parse("SELECT 1"), bind, run, sync)
		assert.Equal(t, got, "12CEI12DCI")
		assert.Equal(t, len(g.Member("a").Rows("notes")), 0)
	})
	t.Run("suspended portal", func(t *testing.T) {
		twoRows := &pgproto3.Execute{MaxRows: 2}
		got := exchange(t, c, 1, parse("SELECT * FROM generate_series(1, 3)"), bind, twoRows, twoRows, sync)
		assert.Equal(t, got, "12DDsDCI")
	})
	t.Run("portal ends with the transaction", func(t *testing.T) {
		assert.Equal(t, exchange(t, c, 1, run, sync), "EI")
	})
	t.Run("block status", func(t *testing.T) {
		query := func(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }
		assert.Equal(t, exchange(t, c, 1, query("BEGIN; SELECT 1")), "C\x00DCT")
		assert.Equal(t, exchange(t, c, 1, query("bad")), "EE")
		assert.Equal(t, exchange(t, c, 1, query("ROLLBACK")), "CI")
	})
}

// Guards against two transactions that both commit an insert of the same key, which would hide a duplicate execution.
func TestConcurrentInsert(t *testing.T) {
	g, ctx := startGroup(t, nil)
	insert := "INSERT INTO notes (key, value) VALUES ('k', 'v')"
	first, second := connect(ctx, t, g, "a"), connect(ctx, t, g, "a")

	for _, c := range []*pgx.Conn{first, second} {
		execute(ctx, t, c, "BEGIN")
		execute(ctx, t, c, insert)
	}

	execute(ctx, t, first, "COMMIT")

	_, err := second.Exec(ctx, "COMMIT")
	assertCode(t, err, "23505")
	assert.DeepEqual(t, g.Member("a").Rows("notes"), map[string]labstandin.Row{"k": {Value: "v", Writes: 1}})
}

// Guards against settings that remain after DISCARD ALL, or after the transaction in which SET LOCAL set them.
func TestSettings(t *testing.T) {
	g, ctx := startGroup(t, nil)
	c := connect(ctx, t, g, "a")
	show := func(t *testing.T, want string) {
		t.Helper()

		var got string

		err := c.QueryRow(ctx, "SHOW lab.x", pgx.QueryExecModeSimpleProtocol).Scan(&got)
		if want == "" {
			assertCode(t, err, "42704")
			return
		}

		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}

	execute(ctx, t, c, "SET lab.x = 'one'")
	execute(ctx, t, c, "BEGIN")
	execute(ctx, t, c, "SET LOCAL lab.x TO two")
	show(t, "two")
	execute(ctx, t, c, "COMMIT")
	show(t, "one")
	execute(ctx, t, c, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	show(t, "")
}
