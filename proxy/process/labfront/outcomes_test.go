package labfront_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labfront"
)

var errFake = errors.New("fake failure")

// failFirst returns a runError function that makes the first n executions of a query fail after they were recorded as
// executed. If n is negative, all executions fail.
func failFirst(n int, query string, err error) func(string) error {
	return func(q string) error {
		if q != query || n == 0 {
			return nil
		}

		n--

		return err
	}
}

func executions(x *fixture, query string) int {
	n := 0

	for _, q := range x.gateway.queries() {
		if q == query {
			n++
		}
	}

	return n
}

// Guards against retrying a request that may have run and has an idempotency key or possible side effects, against
// reporting a wrong outcome, and against a wrong transaction status after a failure.
func TestOutcomes(t *testing.T) {
	ctx := context.Background()
	unknown := lab.UnknownOutcomeError(lab.ReasonConnectionLost, errFake)

	// endsWith executes a query whose first executions fail. It compares the SQLSTATE that the client receives ("" for
	// success) and the number of executions.
	endsWith := func(query string, failures int, failure error, want string, runs int) func(*testing.T) {
		return func(t *testing.T) {
			x := startFixture(t, nil)
			x.gateway.update(func(g *fakeGateway) { g.runError = failFirst(failures, query, failure) })
			c := x.connect(t)

			_, err := c.Exec(ctx, query)
			if want == "" {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, sqlState(t, err), want)
			}

			assert.Equal(t, executions(x, query), runs)
			assert.Equal(t, c.PgConn().TxStatus(), byte('I'))
			returnsValue(c, "v", "select $1", "v")(t)
		}
	}

	t.Run("read lost", endsWith("select one", 2, unknown, "", 3))
	t.Run("unknown function lost", endsWith("select charge()", 1, unknown, "LL002", 1))
	t.Run("named read lost", endsWith("/* laburnumlock:once=a */ select one", 1, unknown, "LL002", 1))
	t.Run("write lost", endsWith("insert one", 1, unknown, "LL002", 1))
	t.Run("write not run", endsWith("insert one", 2, lab.NotRunError(lab.ReasonNoPrimary, errFake), "", 3))
	t.Run("write rejected", endsWith("insert one", 1, lab.NotRunError(lab.ReasonRejected, errFake), "LL001", 1))
	t.Run("not run until the deadline", endsWith("insert one", -1, lab.NotRunError(lab.ReasonDeadline, errFake), "LL001", 1))
	t.Run("read that a replica rejects", func(t *testing.T) {
		x := startFixture(t, nil)
		x.gateway.update(func(g *fakeGateway) {
			g.runError = failFirst(1, "select one", lab.NotRunError(lab.ReasonReadOnly, errFake))
		})
		_, err := x.connect(t).Exec(ctx, "select one")
		assert.NilError(t, err)
		assert.Equal(t, x.gateway.lastHeader().ReadOnly, false)
	})
	t.Run("read that fails on a replica", func(t *testing.T) {
		x := startFixture(t, nil)
		_, err := x.connect(t).Exec(ctx, "select primary")
		assert.NilError(t, err)
		assert.Equal(t, x.gateway.lastHeader().ReadOnly, false)
	})
	t.Run("no retry after a part of the response", func(t *testing.T) {
		x := startFixture(t, nil)
		r, err := x.connect(t).PgConn().Exec(ctx, "select rows 100 1000 lost").ReadAll()
		assert.Equal(t, sqlState(t, err), "LL002")
		assert.Equal(t, len(r[0].Rows), 100)
		assert.Equal(t, executions(x, "select rows 100 1000 lost"), 1)
	})
	t.Run("no retry without budget", func(t *testing.T) {
		x := startFixture(t, func(l *labfront.Listener) { l.Server.RetryBudget = emptyBudget{} })
		x.gateway.update(func(g *fakeGateway) { g.runError = failFirst(1, "select one", unknown) })
		_, err := x.connect(t).Exec(ctx, "select one")
		assert.Equal(t, sqlState(t, err), "LL002")
	})
	t.Run("retries end with the deadline", func(t *testing.T) {
		x := startFixture(t, func(l *labfront.Listener) { l.Server.ReadDeadline = 50 * time.Millisecond })
		x.gateway.update(func(g *fakeGateway) {
			g.beginError = func(lab.TransactionHeader) error { return lab.NotRunError(lab.ReasonNoLease, errFake) }
		})
		startedAt := time.Now()
		_, err := x.connect(t).Exec(ctx, "select one")
		assert.Equal(t, sqlState(t, err), "LL001")
		assert.Assert(t, time.Since(startedAt) < 5*time.Second)
	})
	t.Run("in a transaction", func(t *testing.T) {
		x := startFixture(t, nil)
		x.gateway.update(func(g *fakeGateway) {
			g.runError = failFirst(1, "insert two", lab.NotRunError(lab.ReasonConnectionLost, errFake))
		})
		tx, err := x.connect(t).Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "insert one")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "insert two")
		assert.Equal(t, sqlState(t, err), "LL001")
		_, err = tx.Exec(ctx, "insert three")
		assert.Equal(t, sqlState(t, err), "25P02")
		assert.ErrorIs(t, tx.Commit(ctx), pgx.ErrTxCommitRollback)
		assert.Equal(t, executions(x, "insert three")+executions(x, "commit"), 0)
	})
	t.Run("commit lost", func(t *testing.T) {
		x := startFixture(t, nil)
		x.gateway.update(func(g *fakeGateway) { g.runError = failFirst(1, "commit", unknown) })
		c := x.connect(t)
		tx, err := c.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "insert one")
		assert.NilError(t, err)
		assert.Equal(t, sqlState(t, tx.Commit(ctx)), "LL002")
		assert.Equal(t, c.PgConn().TxStatus(), byte('I'))
	})
}

type emptyBudget struct{ fakeBudget }

func (emptyBudget) TakeRetry() bool { return false }

// Guards against dropping the notice that a request with an idempotency key had run before.
func TestNotice(t *testing.T) {
	x := startFixture(t, nil)

	p, err := pgconn.ParseConfig(x.url(""))
	assert.NilError(t, err)

	var got string

	p.OnNotice = func(_ *pgconn.PgConn, n *pgconn.Notice) { got = n.Code }
	c, err := pgconn.ConnectConfig(context.Background(), p)
	assert.NilError(t, err)

	defer func() { _ = c.Close(context.Background()) }()

	_, err = c.Exec(context.Background(), "insert repeated").ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, got, lab.SQLStateDuplicate)
}

// Guards against tags and settings of the client that don't reach the gateway in the transaction header.
func TestHeader(t *testing.T) {
	x := startFixture(t, nil)
	c := x.connect(t, "laburnumlock.read_class=report")
	ctx := context.Background()

	hasHeader := func(want lab.TransactionHeader, queries ...string) func(*testing.T) {
		return func(t *testing.T) {
			for _, q := range queries {
				_, err := c.Exec(ctx, q)
				assert.NilError(t, err, q)
			}

			got := x.gateway.lastHeader()
			got.RequestID, got.MinPosition = 0, lab.WALPosition{}
			want.Organisation, want.Database = "hanko", "rota"
			assert.Assert(t, got.TimeLeft > 0 && got.TimeLeft <= 60*time.Second)
			got.TimeLeft = 0
			assert.Equal(t, got, want)
		}
	}
	refuses := func(want string, queries ...string) func(*testing.T) {
		return func(t *testing.T) {
			_, err := c.Exec(ctx, strings.Join(queries, ";"))
			assert.Equal(t, sqlState(t, err), want)

			_, err = c.Exec(ctx, "rollback")
			assert.NilError(t, err)
		}
	}
	write := lab.TransactionHeader{AdmissionClass: lab.ClassWrite}

	t.Run("read class of the session", hasHeader(
		lab.TransactionHeader{AdmissionClass: lab.ClassInteractive, ReadOnly: true, MaxStaleness: 2 * time.Second},
		"select 1"))
	t.Run("read class", hasHeader(
		lab.TransactionHeader{AdmissionClass: lab.ClassInteractive, ReadOnly: true},
		"reset laburnumlock.read_class", "select 1"))
	t.Run("read class of a tag", hasHeader(
		lab.TransactionHeader{AdmissionClass: lab.ClassInteractive, ReadOnly: true, MaxStaleness: 2 * time.Second},
		"/* laburnumlock:class=report */ select 1"))
	t.Run("write", hasHeader(write, "insert 1"))
	t.Run("once", hasHeader(lab.TransactionHeader{AdmissionClass: lab.ClassWrite, IdempotencyKey: "n1"},
		"/* laburnumlock:once=n1 */ insert 1"))
	t.Run("once on a read", hasHeader(lab.TransactionHeader{AdmissionClass: lab.ClassWrite, IdempotencyKey: "n1"},
		"/* laburnumlock:once=n1 */ select 1"))
	t.Run("once in a transaction", hasHeader(lab.TransactionHeader{AdmissionClass: lab.ClassWrite, IdempotencyKey: "n2"},
		"begin", "set local laburnumlock.once = 'n2'", "insert 1", "commit"))
	t.Run("once ends with the transaction", hasHeader(write, "insert 1"))
	t.Run("may wait", hasHeader(lab.TransactionHeader{AdmissionClass: lab.ClassDeferrable},
		"set laburnumlock.class = 'may_wait'", "insert 1"))
	t.Run("reset", hasHeader(write, "reset laburnumlock.class", "insert 1"))

	t.Run("once on a statement prepared in the transaction", func(t *testing.T) {
		tx, err := c.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "/* laburnumlock:once=n6 */ insert $1", "v")
		assert.NilError(t, err)
		assert.Equal(t, x.gateway.lastHeader().IdempotencyKey, "n6")
		assert.NilError(t, tx.Commit(ctx))
	})
	t.Run("preparing alone uses no idempotency key", func(t *testing.T) {
		_, err := c.Prepare(ctx, "p", "/* laburnumlock:once=n7 */ insert $1, 2")
		assert.NilError(t, err)
		assert.Equal(t, x.gateway.lastHeader().IdempotencyKey, "")
		_, err = c.Exec(ctx, "p", "v")
		assert.NilError(t, err)
		assert.Equal(t, x.gateway.lastHeader().IdempotencyKey, "n7")
	})

	t.Run("two names", func(t *testing.T) {
		var b pgx.Batch

		b.Queue("/* laburnumlock:once=n8 */ insert 8")
		b.Queue("/* laburnumlock:once=n9 */ insert 9")
		assert.Equal(t, sqlState(t, c.SendBatch(ctx, &b).Close()), "55000")
		assert.Equal(t, executions(x, "/* laburnumlock:once=n8 */ insert 8"), 0)
	})

	t.Run("session once", refuses("22023", "set laburnumlock.once = 'n3'"))
	t.Run("once outside of a transaction", refuses("25P01", "set local laburnumlock.once = 'n3'"))
	t.Run("bad tag", refuses("22023", "/* laburnumlock:once=a b */ insert 1"))
	t.Run("unknown class", refuses("22023", "/* laburnumlock:class=none */ insert 1"))
	t.Run("unknown parameter", refuses("22023", "set laburnumlock.foo = 1"))
	t.Run("mixed", refuses("0A000", "begin", "set local laburnumlock.once = 'n4'", "insert 1"))
	t.Run("late once", func(t *testing.T) {
		_, err := c.Exec(ctx, "begin")
		assert.NilError(t, err)
		_, err = c.Exec(ctx, "insert 1")
		assert.NilError(t, err)
		refuses("55000", "/* laburnumlock:once=n5 */ insert 2")(t)
	})
}

// Guards against session parameters that are not set on another upstream connection, or that stay set after a rollback.
func TestSettings(t *testing.T) {
	x := startFixture(t, nil)
	c := x.connect(t, "search_path=mine", "extra_float_digits=2", "client_encoding=UTF8")
	ctx := context.Background()

	runsAfter := func(want []string, queries ...string) func(*testing.T) {
		return func(t *testing.T) {
			t.Helper()

			for _, q := range queries {
				_, err := c.Exec(ctx, q)
				assert.NilError(t, err, q)
			}

			lastQueriesAre(x, want...)(t)
		}
	}
	setPath := `SET "search_path" = 'mine'`

	t.Run("startup", runsAfter([]string{setPath, "insert 1"}, "insert 1"))
	t.Run("extended", func(t *testing.T) {
		returnsValue(c, "v", "select $1", "v")(t)
		lastQueriesAre(x, setPath, "select $1")(t)
	})
	t.Run("set", runsAfter([]string{setPath, "set a = 1", "insert 2"}, "set a = 1", "insert 2"))
	t.Run("replaced", runsAfter([]string{setPath, "set a = 2", "insert 3"}, "set a = 2", "insert 3"))
	t.Run("in a block", runsAfter([]string{"begin", setPath, "set a = 2", "insert 4", "commit"}, "begin", "insert 4", "commit"))
	t.Run("rolled back", runsAfter([]string{setPath, "set a = 2", "insert 5"}, "begin", "set b = 1", "rollback", "insert 5"))
	t.Run("committed", runsAfter([]string{setPath, "set a = 2", "set b = 1", "insert 6"},
		"begin", "set b = 1", "commit", "insert 6"))
	t.Run("local", runsAfter([]string{setPath, "set a = 2", "set b = 1", "insert 7"},
		"begin", "set local c = 1", "commit", "insert 7"))
	t.Run("same as the default", runsAfter([]string{setPath, "set a = 2", "set b = 1", "insert 7"}, "set datestyle = 'ISO'",
		"set extra_float_digits = 3", "set application_name = 'x'", "insert 7"))
	t.Run("discard all", runsAfter([]string{setPath, "insert 8"}, "discard all", "insert 8"))
	t.Run("reset", runsAfter([]string{setPath, "insert 9"}, "set search_path = x", "reset search_path", "insert 9"))
	t.Run("position of an error", func(t *testing.T) {
		_, err := c.Exec(ctx, "syntax")

		var e *pgconn.PgError

		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Position, int32(30-len(setPath+"\n;\n"))) // the fake gateway reports position 30
	})
	t.Run("refused", func(t *testing.T) {
		for _, q := range []string{
			"set client_encoding = 'SJIS'", "set default_transaction_read_only = on", "listen x",
			"select pg_advisory_lock(1)", "select set_config('a', 'b', false)",
		} {
			_, err := c.Exec(ctx, q)
			assert.Equal(t, sqlState(t, err), "0A000")
		}
	})
}
