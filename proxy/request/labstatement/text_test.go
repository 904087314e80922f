package labstatement_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/proxy/request/labstatement"
)

func parseKinds(t *testing.T, text string) string {
	t.Helper()

	p, err := labstatement.Parse(text)
	assert.NilError(t, err)

	names := make([]string, 0, len(p.Statements()))
	for _, s := range p.Statements() {
		names = append(names, s.Kind().String())
	}

	return strings.Join(names, " ")
}

// Guards against routing to a replica a statement that may write, and against missing the start or end of a
// transaction.
func TestKinds(t *testing.T) {
	cases := map[string][]string{
		"": {"", " ; ; ", "-- nothing", "/* a /* nested */ b */"},
		"read": {
			"select 1", "SELECT a FROM t WHERE b = 'insert; into'", "(select 1) union (select 2)", "table t", "values (1)",
			"with x as (select 1) select * from x", "show timezone", "explain select 1", "select $$ for update $$",
			`select "into" from t`, "select 1 -- for update", "select substring('a' from 1 for 2)", "select 'it''s'",
			"select e'\\'; delete from t; --'", "select $a$ $b$ ; $a$", "select a$b$c from t", "select 'a\\b'",
		},
		"write": {
			"insert into t values (1)", "update t set a = 1", "delete from t", "select 1 into t", "select * from t for update",
			"select * from t for no key update", "SELECT * FROM t FOR/**/SHARE", "select * from t for key share",
			"select nextval('s')", "select pg_catalog.setval ('s', 1)", `select "nextval"('s')`, "select pg_advisory_lock(1)",
			"select PG_TRY_ADVISORY_XACT_LOCK(1)", "with x as (delete from t returning *) select * from x",
			"explain ANALYZE select 1", "explain (ANALYSE, verbose) delete from t", "explain delete from t", //nolint:misspell // keywords
			"select set_config('a', 'b', false)", "truncate t", "commit prepared 'x'", "rollback prepared 'x'",
			`select u&"\006eextval"('s')`, `select '\''; delete from t --'`, "merge into t using s on true", "select 1into t",
			"select pg_is_in_recovery()",
		},
		"begin": {
			"begin", "BEGIN WORK", "start transaction isolation level serializable", "begin read write",
			"begin read only, isolation level serializable", "begin read only, read write",
		},
		"begin_read_only": {"begin read only", "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY"},
		"commit":          {"commit", "END", "commit and chain"},
		"rollback":        {"rollback", "abort", "rollback work"},
		"set": {
			"set a = 1", "SET SESSION a TO 'x'", "set local a.b = 'c'", "reset a", "RESET ALL", "set time zone 'UTC'",
			"set session characteristics as transaction read only",
		},
		"discard": {"discard all", "deallocate x"},
		"copy":    {"copy t from stdin", "COPY (select 1) to stdout"},
		"listen":  {"listen x"},
		"other": {
			"rollback to a", "rollback work to savepoint a", "savepoint a", "prepare a as select 1", "execute a", "create table t (a int)",
			"set transaction read only", "lock table t", "select 'unterminated", "select /* unterminated", "select $$ x",
			"do $$ begin end $$", "call f()", "show transaction_read_only", "declare c cursor for select 1",
		},
		"read write": {"select 1; delete from t", "select $1; insert into t values ('a;b');"},
	}

	for want, texts := range cases {
		for _, text := range texts {
			t.Run(text, func(t *testing.T) {
				assert.Equal(t, parseKinds(t, text), want)
			})
		}
	}
}

// Guards against retrying a read that calls unknown functions, and against returning a changed session to the pool
// without a reset.
func TestFlags(t *testing.T) {
	hasFlags := func(text string, pure, changesSession bool) func(*testing.T) {
		return func(t *testing.T) {
			p, err := labstatement.Parse(text)
			assert.NilError(t, err)
			assert.Equal(t, p.IsSideEffectFree(), pure)
			assert.Equal(t, p.ChangesSession(), changesSession)
		}
	}

	t.Run("built in", hasFlags("select count(*), lower(a) from t where b in (1) and c = any($1)", true, false))
	t.Run("unknown function", hasFlags("select charge_card(1)", false, false))
	t.Run("schema-qualified function with a known name", hasFlags("select mine.lower('x')", false, false))
	t.Run("quoted", hasFlags(`select "lower"('x')`, false, false))
	t.Run("several", hasFlags("select 1; select 2", false, false))
	t.Run("insert", hasFlags("insert into t values (1)", false, false))
	t.Run("set", hasFlags("set a = 1", false, true))
	t.Run("session lock", hasFlags("select pg_advisory_lock(1)", false, true))
	t.Run("create", hasFlags("create temp table t (a int)", false, true))
	t.Run("broken", hasFlags("select 'x", false, true))
}

// Guards against taking a session-level lock or setting a parameter on a pooled connection that another session uses
// afterwards.
func TestSessionCall(t *testing.T) {
	calls := func(text, want string) func(*testing.T) {
		return func(t *testing.T) {
			p, err := labstatement.Parse(text)
			assert.NilError(t, err)
			assert.Equal(t, p.Statements()[0].SessionCall(), want)
		}
	}

	t.Run("lock", calls("select pg_catalog.PG_ADVISORY_LOCK(1), lower('x')", "pg_advisory_lock"))
	t.Run("set_config", calls("select set_config('a', 'b', false)", "set_config"))
	t.Run("transaction lock", calls("select pg_advisory_xact_lock(1)", ""))
}

// Guards against parsing a wrong name or value from SET and RESET, in particular for the proxy's own parameters.
func TestSetting(t *testing.T) {
	sets := func(text string, want labstatement.Setting) func(*testing.T) {
		return func(t *testing.T) {
			p, err := labstatement.Parse(text)
			assert.NilError(t, err)

			s, ok := p.Single()
			assert.Assert(t, ok)
			assert.Equal(t, s.Setting(), want)
		}
	}

	t.Run("once", sets("SET LOCAL laburnumlock.once = 'a''b'",
		labstatement.Setting{Name: "laburnumlock.once", Value: "a'b", Local: true}))
	t.Run("token", sets(`set "laburnumlock".token to abc ;`, labstatement.Setting{Name: "laburnumlock.token", Value: "abc"}))
	t.Run("list", sets("set search_path = a, 'b'", labstatement.Setting{Name: "search_path", Value: "a, 'b'"}))
	t.Run("default", sets("set session a to default", labstatement.Setting{Name: "a", Value: "default", Reset: true}))
	t.Run("reset", sets("reset laburnumlock.class", labstatement.Setting{Name: "laburnumlock.class", Reset: true}))
	t.Run("time zone", sets("set time zone 'UTC'", labstatement.Setting{Name: "time", Value: "zone 'UTC'"}))
	t.Run("own", func(t *testing.T) {
		assert.Assert(t, labstatement.Setting{Name: "laburnumlock.class"}.IsProxyParameter())
	})
}

// Guards against an idempotency key that is missed, that is taken from a string literal, or that is ignored without an
// error when it is malformed.
func TestTags(t *testing.T) {
	hasTags := func(text string, want labstatement.Tags) func(*testing.T) {
		return func(t *testing.T) {
			p, err := labstatement.Parse(text)
			assert.NilError(t, err)
			assert.Equal(t, p.Tags(), want)
		}
	}
	refuses := func(text string) func(*testing.T) {
		return func(t *testing.T) {
			_, err := labstatement.Parse(text)
			assert.ErrorIs(t, err, labstatement.ErrInvalidTag)
		}
	}

	t.Run("both", hasTags("/* laburnumlock:once=a-1 */ insert into t values (1) /*laburnumlock:class=may_wait*/",
		labstatement.Tags{IdempotencyKey: "a-1", Class: "may_wait"}))
	t.Run("in a string", hasTags("select '/* laburnumlock:once=x */'", labstatement.Tags{}))
	t.Run("other comment", hasTags("/* once=x */ select 1", labstatement.Tags{}))
	t.Run("unknown key", refuses("/* laburnumlock:twice=x */ select 1"))
	t.Run("no name", refuses("/* laburnumlock:once= */ select 1"))
	t.Run("bad name", refuses("/* laburnumlock:once=a b */ select 1"))
	t.Run("two names", refuses("/* laburnumlock:once=a */ /* laburnumlock:once=b */ select 1"))
}

// Guards against a read whose classification depends on the text after it, and against an unterminated literal or
// comment that hides the statement after it.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"select 1", "/* laburnumlock:once=a */ insert into t values ($1)", "set local a = 'b'", "select $a$ $a$; delete from t",
		`select u&"x", e'\''`, "begin read only", "select '\\'' ; --'",
	} {
		f.Add(s)
	}

	f.Fuzz(func(t *testing.T, text string) {
		p, _ := labstatement.Parse(text)
		if extended, _ := labstatement.Parse(text + "\n;\n/* x */"); len(p.Statements()) > 0 && p.IsRead() {
			assert.Assert(t, extended.IsRead() || strings.Contains(text, "/*") || strings.Contains(text, "--"))
		}

		if withDelete, _ := labstatement.Parse(text + "\n; delete from t"); p.IsRead() && len(withDelete.Statements()) == 1 {
			assert.Assert(t, !withDelete.IsRead(), "%q hides a statement", text)
		}

		for _, s := range p.Statements() {
			assert.Assert(t, strings.Contains(text, s.Text()))
			assert.Assert(t, !s.IsSideEffectFree() || s.Kind() == labstatement.Read)
		}
	})
}
