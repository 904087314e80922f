package labupstream

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Defaults for the fields of a Dialer that are zero.
const (
	DefaultConnectTimeout  = time.Second
	DefaultProgressTimeout = time.Second
	DefaultMessageLimit    = 16 << 20 // bytes
	DefaultStatementLimit  = 512

	keepAliveInterval = time.Second
)

// Dialer opens connections to upstreams.
type Dialer struct {
	User            string
	Password        string
	ConnectTimeout  time.Duration // limit for connecting and logging in together
	ProgressTimeout time.Duration // time without a byte from the upstream after which Conn.OnSilence is called
	MessageLimit    int           // largest message from the upstream, in bytes
	StatementLimit  int           // number of prepared statements above which a connection is reset before reuse
}

// Dial connects to the upstream at address and logs in to a database.
func (d *Dialer) Dial(ctx context.Context, address, database string) (*Conn, error) {
	config, err := d.config(address, database)
	if err != nil {
		return nil, err
	}

	var framed *framedConn

	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{KeepAlive: keepAliveInterval}

		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Newf("dial: %w", err)
		}

		framed = newFramedConn(raw)

		return framed, nil
	}

	ctx, cancel := context.WithTimeout(ctx, config.ConnectTimeout)
	defer cancel()

	login, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Newf("connect to %s: %w", address, err)
	}

	hijacked, err := login.Hijack()
	if err != nil {
		_ = framed.Close()

		return nil, errors.Newf("hijack connection: %w", err)
	}

	c := &Conn{
		socket: framed, address: address,
		cancelKey:       pgproto3.CancelRequest{ProcessID: hijacked.PID, SecretKey: hijacked.SecretKey},
		progressTimeout: positive(d.ProgressTimeout, DefaultProgressTimeout), messageLimit: d.MessageLimit,
		statementLimit: d.StatementLimit, statements: map[string]string{}, connectTimeout: config.ConnectTimeout, status: 'I',
	}
	if c.messageLimit <= 0 {
		c.messageLimit = DefaultMessageLimit
	}

	if c.statementLimit <= 0 {
		c.statementLimit = DefaultStatementLimit
	}

	return c, framed.SetDeadline(time.Time{})
}

func (d *Dialer) config(address, database string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Newf("parse address: %w", err)
	}

	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Newf("parse port: %w", err)
	}

	// Empty service and password files keep pgconn from taking settings from the environment of the process.
	config, err := pgconn.ParseConfig("host=localhost sslmode=disable passfile=/dev/null servicefile=/dev/null")
	if err != nil {
		return nil, errors.Newf("parse connection settings: %w", err)
	}

	config.Host, config.Port, config.Database = host, uint16(portNumber), database
	config.User, config.Password = d.User, d.Password
	config.ConnectTimeout = positive(d.ConnectTimeout, DefaultConnectTimeout)
	config.Fallbacks = nil
	config.TLSConfig = nil
	config.RuntimeParams = map[string]string{}

	return config, nil
}

func positive(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}

	return fallback
}
