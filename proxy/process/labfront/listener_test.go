package labfront_test

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/process/labfront"
)

const password = "correct horse"

// fixture is a listener whose sessions use a fake gateway.
type fixture struct {
	listener *labfront.Listener
	server   *labsession.Server
	gateway  *fakeGateway
	catalog  *fakeCatalog
	stop     func()
}

func startFixture(t testing.TB, configure func(*labfront.Listener)) *fixture {
	t.Helper()

	credential, err := labscram.NewCredential(password)
	assert.NilError(t, err)

	catalog := &fakeCatalog{
		organisations: map[string]*lab.Organisation{"hanko": {
			Name: "hanko", Databases: []string{"rota", "extra"}, Credential: credential,
			Parameters: lab.Parameters{ReadClasses: []lab.ReadClass{{Name: "report", MaxStalenessMS: 2000}}},
		}},
		databases: map[string]*lab.Database{"rota": {Name: "rota", History: lab.TermHistory{{Term: 1}}}},
	}
	x := &fixture{catalog: catalog, gateway: &fakeGateway{release: make(chan struct{})}}
	x.server = &labsession.Server{
		Gateway: x.gateway, Catalog: catalog, Clock: labclock.New(), Random: fakeRandom{}, RetryBudget: fakeBudget{},
		TokenCodec: &labtoken.Codec{Keys: [][]byte{[]byte("deployment key")}}, Keys: &labsession.CancelKeys{Proxy: 7},
		DecoySecret: []byte("secret"), Log: zerolog.Nop(),
	}
	x.listener = &labfront.Listener{ListenAddress: "127.0.0.1:0", Server: x.server, Log: zerolog.Nop(), EventLoops: 2}

	if configure != nil {
		configure(x.listener)
	}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- x.listener.Run(ctx) }()

	x.stop = sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-done == nil)
	})
	t.Cleanup(x.stop)

	waitUntil(t, func() bool { return x.listener.BoundAddress() != "" })

	return x
}

func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()

	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "condition not met within 10 s")
	}
}

func (x *fixture) url(parameters string) string {
	return fmt.Sprintf("postgres://hanko:%s@%s/rota?sslmode=disable&%s",
		url.PathEscape(password), x.listener.BoundAddress(), parameters)
}

func (x *fixture) connect(t *testing.T, parameters ...string) *pgx.Conn {
	t.Helper()

	c, err := pgx.Connect(context.Background(), x.url(strings.Join(parameters, "&")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })

	return c
}

func returnsValue(c interface {
	QueryRow(ctx context.Context, sql string, arguments ...any) pgx.Row
}, want, query string, arguments ...any,
) func(*testing.T) {
	return func(t *testing.T) {
		t.Helper()

		var got string
		assert.NilError(t, c.QueryRow(context.Background(), query, arguments...).Scan(&got))
		assert.Equal(t, got, want)
	}
}

// Guards against a startup, an authentication or a rewriting of statements that pgx as a client can't handle.
func TestPool(t *testing.T) {
	x := startFixture(t, nil)

	p, err := pgxpool.New(context.Background(), x.url("pool_max_conns=4"))
	assert.NilError(t, err)
	t.Cleanup(p.Close)

	for i := range 20 {
		t.Run("extended", returnsValue(p, fmt.Sprint("v", i), "select $1", fmt.Sprint("v", i)))
	}

	t.Run("simple", returnsValue(p, "one", "select one", pgx.QueryExecModeSimpleProtocol))
	t.Run("unnamed", returnsValue(p, "x", "select $1", pgx.QueryExecModeExec, "x"))
}

func lastQueriesAre(x *fixture, want ...string) func(*testing.T) {
	return func(t *testing.T) {
		t.Helper()

		got := x.gateway.queries()
		assert.DeepEqual(t, got[len(got)-len(want):], want)
	}
}

// Guards against a BEGIN that is lost, is executed twice, or is routed without regard to READ ONLY.
func TestTransactions(t *testing.T) {
	x := startFixture(t, nil)
	c := x.connect(t)
	ctx := context.Background()

	begin := func(t *testing.T, o pgx.TxOptions) pgx.Tx {
		t.Helper()

		tx, err := c.BeginTx(ctx, o)
		assert.NilError(t, err)

		return tx
	}

	t.Run("commit", func(t *testing.T) {
		tx := begin(t, pgx.TxOptions{})
		returnsValue(tx, "v", "select $1", "v")(t)
		assert.Equal(t, x.gateway.lastHeader().ReadOnly, false)
		assert.NilError(t, tx.Commit(ctx))
		lastQueriesAre(x, "begin", "select $1", "commit")(t)
	})
	t.Run("read only", func(t *testing.T) {
		tx := begin(t, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		returnsValue(tx, "one", "select one", pgx.QueryExecModeSimpleProtocol)(t)
		assert.Equal(t, x.gateway.lastHeader().ReadOnly, true)
		assert.NilError(t, tx.Rollback(ctx))
		lastQueriesAre(x, "begin read only", "select one", "rollback")(t)
	})
	t.Run("empty", func(t *testing.T) {
		before := len(x.gateway.queries())
		assert.NilError(t, begin(t, pgx.TxOptions{}).Commit(ctx))
		assert.Equal(t, len(x.gateway.queries()), before)
	})
	t.Run("error", func(t *testing.T) {
		tx := begin(t, pgx.TxOptions{})
		_, err := tx.Exec(ctx, "select error")
		assert.ErrorContains(t, err, "22012")
		_, err = tx.Exec(ctx, "select one")
		assert.ErrorContains(t, err, "25P02")
		assert.ErrorIs(t, tx.Commit(ctx), pgx.ErrTxCommitRollback)
	})
	t.Run("syntax error in the first statement", func(t *testing.T) {
		tx := begin(t, pgx.TxOptions{})
		_, err := tx.Exec(ctx, "syntax")
		assert.ErrorContains(t, err, "42601")
		_, err = tx.Exec(ctx, "insert 1")
		assert.ErrorContains(t, err, "25P02")
		assert.NilError(t, tx.Rollback(ctx))
	})
}
