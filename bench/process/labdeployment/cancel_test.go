package labdeployment_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/version/labsettings"
)

// connect opens a connection through loginProxy. The cancel requests of the connection go to cancelProxy.
func connect(t *testing.T, d *labdeployment.Deployment, loginProxy, cancelProxy int, options string) *pgconn.PgConn {
	t.Helper()

	addresses, s := d.ClientAddresses(), d.Settings
	config, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&%s",
		s.Organisation, password, addresses[loginProxy], s.DatabaseGroup.Databases[0], options))
	assert.NilError(t, err)

	target := addresses[loginProxy]
	config.DialFunc = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, target)
	}

	c, err := pgconn.ConnectConfig(t.Context(), config)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })

	target = addresses[cancelProxy]

	return c
}

func startSleep(c *pgconn.PgConn) <-chan error {
	done := make(chan error, 1)

	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(30)").ReadAll()
		done <- err
	}()

	return done
}

// Guards against a cancel request that has no effect because a load balancer sent it to a proxy other than the
// session's. Guards also against a cancel request with a wrong secret key that cancels the statement.
func TestCancelAtAnotherProxy(t *testing.T) {
	const limit = 2 * time.Second

	d := startDeployment(t, func(s *labsettings.Deployment) { s.ProxyZones = []string{"hanko", "oulu"} })
	c := connect(t, d, 0, 1, "")
	done := startSleep(c)

	time.Sleep(limit / 4)

	secret := c.SecretKey()
	secret = append([]byte{secret[0] ^ 1}, secret[1:]...)
	sendCancel(t, d.ClientAddresses()[1], &pgproto3.CancelRequest{ProcessID: c.PID(), SecretKey: secret})

	select {
	case err := <-done:
		t.Fatalf("the query ended after a cancel request with a wrong secret: %v", err)
	case <-time.After(limit / 2):
	}

	sent := time.Now()
	assert.NilError(t, c.CancelRequest(t.Context()))

	select {
	case err := <-done:
		var p *pgconn.PgError
		assert.Assert(t, errors.As(err, &p), "%v", err)
		assert.Equal(t, p.Code, "57014")
		t.Logf("cancelled after %s", time.Since(sent))
	case <-time.After(limit):
		t.Fatal("the query still runs after its cancel request")
	}
}

func sendCancel(t *testing.T, address string, request *pgproto3.CancelRequest) {
	t.Helper()

	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)

	defer func() { assert.NilError(t, c.Close()) }()

	message, err := request.Encode(nil)
	assert.NilError(t, err)
	_, err = c.Write(message)
	assert.NilError(t, err)
}
