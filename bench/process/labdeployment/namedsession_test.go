package labdeployment_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/bench/process/labload"
)

// assertReadsOwnWrite writes a row through writeProxy in a named session, which has no token, and then calls event. It
// asserts that the same named session afterwards reads the row through readProxy.
func assertReadsOwnWrite(t *testing.T, d *labdeployment.Deployment, name string, writeProxy, readProxy int, lag time.Duration, event func()) {
	t.Helper()

	for _, m := range d.Group(d.Settings.DatabaseGroup.Databases[0]).AllMembers() {
		m.SetLag(20*time.Millisecond, lag)
	}

	options := "laburnumlock.session=a-long-session-name-" + name
	exec := func(proxy int, sql string) ([]*pgconn.Result, error) {
		c := connect(t, d, proxy, proxy, options)
		defer func() { assert.NilError(t, c.Close(t.Context())) }()

		return c.Exec(t.Context(), sql).ReadAll()
	}

	_, err := exec(writeProxy, fmt.Sprintf("INSERT INTO %s (key, value) VALUES ('%s', 'x')", labload.Table, name))
	assert.NilError(t, err)
	event()

	read := fmt.Sprintf("SELECT value FROM %s WHERE key = '%s'", labload.Table, name)
	results, err := exec(readProxy, read)

	// The gateway roles of a killed proxy move to another proxy when its lease has expired. Until then a read may fail,
	// but a read that succeeds must return the write.
	for deadline := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(deadline); {
		results, err = exec(readProxy, read)
	}

	assert.NilError(t, err)
	assert.Equal(t, len(results[0].Rows), 1, "the named session must read its own write")
}

// Guards against a named session that doesn't read its own writes after it moves to another proxy. Clients that can't
// send a session token use named sessions.
func TestNamedSession(t *testing.T) {
	d := startDeployment(t, nil)
	_ = newLoad(t, d) // creates the tables

	const (
		lag     = 500 * time.Millisecond
		longLag = 20 * time.Second // longer than all proxies take to restart
	)
	t.Run("moved", func(t *testing.T) {
		for i := range 9 {
			assertReadsOwnWrite(t, d, fmt.Sprint("moved-", i), i%3, (i+1)%3, lag, func() {})
		}
	})
	t.Run("all proxies lost their minimum positions", func(t *testing.T) {
		assertReadsOwnWrite(t, d, "lost", 0, 1, longLag, func() {
			for i := range 3 {
				assert.NilError(t, d.RestartProxy(context.Background(), i))
			}

			assert.NilError(t, d.WaitReady(context.Background()))
		})
	})
	t.Run("serving proxy died", func(t *testing.T) {
		assertReadsOwnWrite(t, d, "died", 1, 2, longLag, func() { assert.NilError(t, d.KillProxy(1)) })
	})
}
