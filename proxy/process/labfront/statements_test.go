package labfront_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against prepared statements that exist only on the upstream connection on which they were prepared.
func TestPrepared(t *testing.T) {
	x := startFixture(t, nil)
	c := x.connect(t)
	ctx := context.Background()

	_, err := c.Prepare(ctx, "mine", "select $1")
	assert.NilError(t, err)

	for range 4 {
		t.Run("on every connection", returnsValue(c, "v", "mine", "v"))
	}

	t.Run("in a transaction", func(t *testing.T) {
		tx, err := c.Begin(ctx)
		assert.NilError(t, err)
		returnsValue(tx, "v", "mine", "v")(t)
		assert.NilError(t, tx.Commit(ctx))
	})
	t.Run("after close", func(t *testing.T) {
		assert.NilError(t, c.Deallocate(ctx, "mine"))

		_, err := c.PgConn().ExecPrepared(ctx, "mine", [][]byte{[]byte("v")}, nil, nil).Close()
		assert.Equal(t, sqlState(t, err), "26000")
	})
	t.Run("failed parse leaves no statement", func(t *testing.T) {
		for range 2 {
			_, err := c.PgConn().Prepare(ctx, "bad", "syntax", nil)
			assert.Equal(t, sqlState(t, err), "42601")
		}
	})
	t.Run("two of a name", func(t *testing.T) {
		_, err := c.PgConn().Prepare(ctx, "two", "select 1", nil)
		assert.NilError(t, err)
		_, err = c.PgConn().Prepare(ctx, "two", "select 2", nil)
		assert.Equal(t, sqlState(t, err), "42P05")
	})
}

// Guards against executing the requests that follow an error in a pipeline, and against assigning responses to the wrong
// requests after the error.
func TestErrorInTheMiddle(t *testing.T) {
	x := startFixture(t, nil)
	ctx := context.Background()

	for _, mode := range []string{"cache_statement", "exec"} {
		t.Run(mode, func(t *testing.T) {
			c := x.connect(t, "default_query_exec_mode="+mode)

			var b pgx.Batch

			b.Queue("insert one")
			b.Queue("select error")
			b.Queue("insert two")

			r := c.SendBatch(ctx, &b)
			_, err := r.Exec()
			assert.NilError(t, err)
			_, err = r.Exec()
			assert.Equal(t, sqlState(t, err), "22012")
			assert.Assert(t, r.Close() != nil)
			assert.Assert(t, !strings.Contains(strings.Join(x.gateway.queries(), ";"), "two"))
			returnsValue(c, "v", "select $1", "v")(t)
		})
	}
}

// Guards against a wrong order of response messages where the session adds or removes messages of the extended protocol.
func TestMessageOrder(t *testing.T) {
	x := startFixture(t, nil)
	r := x.login(t)

	parse := func(name, query string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: query} }
	bind := func(name string) *pgproto3.Bind { return &pgproto3.Bind{PreparedStatement: name} }
	describe := func(kind byte, name string) *pgproto3.Describe {
		return &pgproto3.Describe{ObjectType: kind, Name: name}
	}
	execute, sync, flush := &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
	end := &pgproto3.Query{String: "rollback"}
	hasResponse := func(want string, messages ...pgproto3.FrontendMessage) func(*testing.T) {
		return func(t *testing.T) {
			t.Helper()
			assert.Equal(t, r.exchange(t, 'Z', messages...), want)
		}
	}

	t.Run("lone sync", hasResponse("IZ", sync))
	t.Run("select", hasResponse("12TDCIZ", parse("", "select 1"), bind(""), describe('P', ""), execute, sync))
	t.Run("describe", hasResponse("1tTIZ", parse("a", "select 1"), describe('S', "a"), sync))
	t.Run("parse after execute", hasResponse("2DC12C12CIZ", bind("a"), execute, parse("", "insert 1"), bind(""), execute,
		parse("b", "insert 2"), bind("b"), execute, sync))
	t.Run("parse that needs the execute before it", hasResponse("12C12DCIZ", parse("", "insert made"), bind(""), execute,
		parse("", "select made"), bind(""), execute, sync))
	t.Run("first error is reported", func(t *testing.T) {
		_ = r.exchange(t, 'E', parse("k", "select 1"), bind("none"), parse("", "copy t to stdout"), sync)
		assert.Equal(t, r.sqlState, "26000")
		assert.Equal(t, r.exchange(t, 'Z'), "IZ")
	})
	t.Run("statement of a failed batch", hasResponse("1IZ", parse("k", "select 1"), sync))
	t.Run("close", hasResponse("3IZ", &pgproto3.Close{ObjectType: 'S', Name: "a"}, sync))
	t.Run("begin", hasResponse("12nCTZ", parse("", "begin"), bind(""), describe('P', ""), execute, sync))
	t.Run("in the block", hasResponse("12CTZ", parse("", "insert 1"), bind(""), execute, sync))
	t.Run("unknown statement", hasResponse("EEZ", bind("none"), execute, sync))
	t.Run("failed block", hasResponse("EEZ", parse("", "select 1"), bind(""), execute, sync))
	t.Run("rollback", hasResponse("12CIZ", parse("", "rollback"), bind(""), execute, sync))
	t.Run("begin again", hasResponse("CTZ", &pgproto3.Query{String: "begin"}))
	t.Run("syntax error", hasResponse("EEZ", &pgproto3.Query{String: "syntax"}))
	t.Run("rollback and more", hasResponse("12C12CIZ", parse("", "rollback"), bind(""), execute, parse("", "insert 1"), bind(""),
		execute, sync))
	t.Run("multiple statements", hasResponse("EIZ", parse("", "select 1; select 2"), sync))
	t.Run("copy", hasResponse("EIZ", parse("", "copy t to stdout"), sync))
	t.Run("empty", hasResponse("IIZ", &pgproto3.Query{String: " ; "}))
	t.Run("function call", hasResponse("EIZ", &pgproto3.FunctionCall{}))
	t.Run("query before sync", hasResponse("EIZ", parse("", "select 1"), &pgproto3.Query{String: "select 1"}))

	t.Run("flush", func(t *testing.T) {
		assert.Equal(t, r.exchange(t, 'T', parse("f", "select 1"), describe('S', "f"), flush), "1tT")
		assert.Equal(t, r.exchange(t, 'C', bind("f"), execute, flush), "2DC")
		assert.Equal(t, r.exchange(t, 'C', bind("f"), execute, flush), "2DC")
		assert.Equal(t, r.exchange(t, 'Z', bind("f"), execute, sync), "2DCIZ")
		lastQueriesAre(x, "BEGIN", "select 1", "select 1", "select 1", "COMMIT")(t)
	})
	t.Run("flush with error", func(t *testing.T) {
		assert.Equal(t, r.exchange(t, 'C', parse("", "insert 1"), bind(""), execute, flush), "12C")
		assert.Equal(t, r.exchange(t, 'E', parse("", "select error"), bind(""), execute, flush, bind(""), flush), "12E")
		assert.Equal(t, r.exchange(t, 'Z', sync), "IZ")
		lastQueriesAre(x, "BEGIN", "insert 1", "select error", "ROLLBACK")(t)
	})
	t.Run("flush after begin", func(t *testing.T) {
		assert.Equal(t, r.exchange(t, 'C', parse("", "begin"), bind(""), execute, flush), "12C")
		assert.Equal(t, r.exchange(t, 'Z', parse("", "insert 1"), bind(""), execute, sync), "12CTZ")
		assert.Equal(t, r.exchange(t, 'Z', end), "CIZ")
	})
	t.Run("flush in a block", func(t *testing.T) {
		assert.Equal(t, r.exchange(t, 'Z', &pgproto3.Query{String: "begin"}), "CTZ")
		assert.Equal(t, r.exchange(t, 'C', parse("", "insert 1"), bind(""), execute, flush), "12C")
		assert.Equal(t, r.exchange(t, 'Z', sync), "TZ")
		assert.Equal(t, r.exchange(t, 'Z', end), "CIZ")
	})
}
