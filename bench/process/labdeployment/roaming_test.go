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

// roam writes through one proxy as a session without a token, runs an event, and asserts that the same session reads its
// write through another proxy.
func roam(t *testing.T, d *labdeployment.Deployment, name string, from, to int, lag time.Duration, event func()) {
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

	_, err := exec(from, fmt.Sprintf("INSERT INTO %s (key, value) VALUES ('%s', 'x')", labload.Table, name))
	assert.NilError(t, err)
	event()

	read := fmt.Sprintf("SELECT value FROM %s WHERE key = '%s'", labload.Table, name)
	results, err := exec(to, read)

	// The duties of a lost proxy move when its lease has expired; until then a read may fail, but not miss the write.
	for until := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(until); {
		results, err = exec(to, read)
	}

	assert.NilError(t, err)
	assert.Equal(t, len(results[0].Rows), 1, "the session does not see its own write")
}

// Guards against a session that misses its own writes at another proxy when it cannot carry the token.
func TestRoamingByName(t *testing.T) {
	d := start(t, nil)
	_ = load(t, d) // creates the tables

	const (
		lag  = 500 * time.Millisecond
		long = 20 * time.Second // longer than the restarts of all proxies
	)
	t.Run("moved", func(t *testing.T) {
		for i := range 9 {
			roam(t, d, fmt.Sprint("moved-", i), i%3, (i+1)%3, lag, func() {})
		}
	})
	t.Run("all peers lost their floors", func(t *testing.T) {
		roam(t, d, "lost", 0, 1, long, func() {
			for i := range 3 {
				assert.NilError(t, d.RestartProxy(context.Background(), i))
			}

			assert.NilError(t, d.WaitReady(context.Background()))
		})
	})
	t.Run("serving proxy died", func(t *testing.T) {
		roam(t, d, "died", 1, 2, long, func() { assert.NilError(t, d.KillProxy(1)) })
	})
}
