package labfront_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/process/labfront"
)

func sendProxyTo(proxies chan<- uint32) func(context.Context, uint32, labsession.CancelKey) {
	return func(_ context.Context, proxy uint32, _ labsession.CancelKey) { proxies <- proxy }
}

// Guards against holding a whole large result in memory, against a blocked event loop while a client reads slowly, and
// against a connection that stays open when its client reads nothing.
func TestSlowReader(t *testing.T) {
	const rows, size = 20_000, 1000

	x := startFixture(t, func(l *labfront.Listener) {
		l.EventLoops = 1
		l.ProgressDeadline = 300 * time.Millisecond
		l.OutboundLimit = 64 << 10
	})
	other := x.connect(t)
	query := &pgproto3.Query{String: "select rows 20000 1000"}

	slow := func(t *testing.T) {
		r := x.login(t)
		r.Send(query)
		assert.NilError(t, r.Flush())
		time.Sleep(100 * time.Millisecond)
		returnsValue(other, "v", "select $1", "v")(t)

		sent := x.listener.Counters.BytesOut.Value()
		assert.Assert(t, sent < rows*size/2, "%d bytes were taken from the gateway before the client read any", sent)

		got := 0
		for got < rows {
			m, err := r.Receive()
			assert.NilError(t, err)

			if _, ok := m.(*pgproto3.DataRow); ok {
				got++
			}

			if got%1000 == 0 {
				time.Sleep(time.Millisecond)
			}
		}

		assert.Equal(t, r.exchange(t, 'Z'), "CIZ")
	}

	t.Run("slow", slow)
	t.Run("limit of the organisation", func(t *testing.T) {
		x.listener.Counters.BytesOut.Set(0)
		x.catalog.updateOrganisation("hanko", func(o *lab.Organisation) { o.Parameters.ResultLimitBytes = rows * size })
		r := x.login(t)
		r.Send(query)
		assert.NilError(t, r.Flush())
		waitUntil(t, func() bool { return x.listener.Counters.BytesOut.Value() > rows*size*9/10 })
		assert.NilError(t, r.Close())
		x.catalog.updateOrganisation("hanko", func(o *lab.Organisation) { o.Parameters.ResultLimitBytes = 0 })
		waitUntil(t, func() bool { return x.listener.Counters.Open.Value() == 1 })
	})
	t.Run("stalled", func(t *testing.T) {
		r := x.login(t)
		r.Send(query)
		assert.NilError(t, r.Flush())
		waitUntil(t, func() bool { return x.listener.Counters.SlowReaders.Value() == 1 })
		waitUntil(t, func() bool { return x.listener.Counters.Open.Value() == 1 })
		returnsValue(other, "v", "select $1", "v")(t)
	})
}

// Guards against a response that reaches another client, and against a request that continues to run after its client
// has disconnected.
func TestLateResponse(t *testing.T) {
	x := startFixture(t, nil)
	r := x.login(t)
	r.Send(&pgproto3.Query{String: "select block"})
	assert.NilError(t, r.Flush())
	waitUntil(t, func() bool { return executions(x, "select block") == 1 })
	assert.NilError(t, r.Close())
	waitUntil(t, func() bool { return x.server.Counters.LateResponses.Value() == 1 })

	c := x.connect(t)
	for range 5 {
		returnsValue(c, "v", "select $1", "v")(t)
	}
}

// Guards against late bytes: when a gateway writes to the response of a batch after the batch has ended, the bytes must
// not become part of the next response.
func TestLateWrite(t *testing.T) {
	x := startFixture(t, nil)
	c := x.connect(t)
	returnsValue(c, "late", "select late", pgx.QueryExecModeSimpleProtocol)(t)
	x.gateway.update(func(g *fakeGateway) { assert.ErrorContains(t, g.lateWrite(), "after the end") })
	returnsValue(c, "v", "select $1", "v")(t)
	assert.Equal(t, x.server.Counters.LateResponses.Value(), int64(1))
}

// Guards against responses that reach another client while clients connect, cancel requests and disconnect.
func TestCrossedResponses(t *testing.T) {
	x := startFixture(t, nil)

	var w sync.WaitGroup

	for i := range 24 {
		w.Go(func() {
			for j := range 10 {
				runClient(t, x, fmt.Sprint("client_", i, "_", j))
			}
		})
	}

	w.Wait()
}

// runClient runs queries on a connection of its own and cancels the last query.
func runClient(t *testing.T, x *fixture, name string) {
	ctx := context.Background()

	c, err := pgx.Connect(ctx, x.url(""))
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}

	defer func() { _ = c.Close(ctx) }()

	for k := range 10 {
		var got string

		want := fmt.Sprint(name, "_", k)
		switch k % 3 {
		case 0:
			err = c.QueryRow(ctx, "select $1", want).Scan(&got)
		case 1:
			err = c.QueryRow(ctx, "select "+want, pgx.QueryExecModeSimpleProtocol).Scan(&got)
		case 2:
			err = pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error { return tx.QueryRow(ctx, "select $1", want).Scan(&got) })
		}

		assert.Check(t, err == nil && got == want, "got %q, want %q, error %v", got, want, err)
	}

	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()

	_, err = c.Exec(shortCtx, "select block")
	assert.Check(t, err != nil)
}

// Guards against a transaction that stays open at the gateway when its client disconnects.
func TestDisconnectInTransaction(t *testing.T) {
	x := startFixture(t, nil)
	r := x.login(t)
	assert.Equal(t, r.exchange(t, 'Z', &pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "insert 1"})[:3], "CTZ")
	waitUntil(t, func() bool { return executions(x, "insert 1") == 1 })
	assert.NilError(t, r.Close())
	waitUntil(t, func() bool { return x.gateway.closedTransactions.Load() == 1 })
}

// Guards against a drain that interrupts a request or a transaction, or accepts new clients.
func TestDrain(t *testing.T) {
	x := startFixture(t, nil)
	ctx := context.Background()
	idle, busy, inBlock := x.login(t), x.login(t), x.connect(t)

	busy.Send(&pgproto3.Query{String: "select block"})
	assert.NilError(t, busy.Flush())
	waitUntil(t, func() bool { return executions(x, "select block") == 1 })

	tx, err := inBlock.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "insert 1")
	assert.NilError(t, err)

	done := make(chan error, 1)
	go func() { done <- x.listener.Drain(ctx) }()

	idle.expectFatal(t, "57P01")

	_, err = pgx.Connect(ctx, x.url(""))
	assert.Equal(t, sqlState(t, err), "57P03")

	close(x.gateway.release)
	assert.Equal(t, busy.exchange(t, 'Z'), "TDCIZ")
	busy.expectFatal(t, "57P01")

	_, err = tx.Exec(ctx, "insert 2")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(ctx))
	assert.NilError(t, <-done)
	lastQueriesAre(x, "begin", "insert 1", "insert 2", "commit")(t)

	t.Run("restart on the same port", func(t *testing.T) {
		address := x.listener.BoundAddress()
		x.stop()

		y := startFixture(t, func(l *labfront.Listener) { l.ListenAddress = address })
		returnsValue(y.connect(t), "v", "select $1", "v")(t)
	})
	t.Run("deadline", func(t *testing.T) {
		y := startFixture(t, nil)
		c := y.connect(t)
		_, err := c.Exec(ctx, "begin")
		assert.NilError(t, err)

		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, y.listener.Drain(shortCtx), context.DeadlineExceeded)
		assert.NilError(t, c.Ping(ctx))
	})
}

// Guards against a goroutine or a buffer for each idle connection, and against a copy of the statement text for each
// session.
func TestIdleMemory(t *testing.T) {
	const connections = 300

	idleMemoryBelow := func(query string, limit int64) func(*testing.T) {
		return func(t *testing.T) {
			x := startFixture(t, nil)
			x.openIdleSession(t, query)

			goroutines, heap := memoryUse()

			for range connections {
				x.openIdleSession(t, query)
			}

			goroutinesAfter, heapAfter := memoryUse()
			heapPerConnection := (int64(heapAfter) - int64(heap)) / connections

			t.Logf("heap per idle authenticated connection: %d bytes, goroutines %d before, %d after",
				heapPerConnection, goroutines, goroutinesAfter)
			assert.Assert(t, goroutinesAfter <= goroutines+2)
			assert.Assert(t, heapPerConnection < limit)
			assert.Equal(t, x.listener.Counters.Open.Value(), int64(connections+1))
		}
	}

	t.Run("small statement", idleMemoryBelow("select one", 4<<10))
	t.Run("large statement", idleMemoryBelow("select "+strings.Repeat("x", 32<<10), 8<<10))
}

func memoryUse() (goroutines int, heap uint64) {
	var m runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)

	return runtime.NumGoroutine(), m.HeapAlloc
}

// openIdleSession opens a session that has prepared and executed a statement. Of the client side it keeps only a file
// descriptor, so that the client adds nothing to the measured memory.
func (x *fixture) openIdleSession(t *testing.T, query string) {
	t.Helper()

	ctx := context.Background()

	c, err := pgconn.Connect(ctx, x.url(""))
	assert.NilError(t, err)
	_, err = c.Prepare(ctx, "a", query, nil)
	assert.NilError(t, err)
	assert.NilError(t, c.ExecPrepared(ctx, "a", nil, nil, nil).Read().Err)

	h, err := c.Hijack()
	assert.NilError(t, err)

	tcp, ok := h.Conn.(*net.TCPConn)
	assert.Assert(t, ok)

	raw, err := tcp.SyscallConn()
	assert.NilError(t, err)

	descriptor := -1

	assert.NilError(t, raw.Control(func(fd uintptr) { descriptor, err = syscall.Dup(int(fd)) }))
	assert.NilError(t, err)
	assert.NilError(t, h.Conn.Close())
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
}
