package labcaller

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"laburnumlock.dev/lab"
)

const (
	codeAdminShutdown = "57P01"

	tokenParameter = "laburnumlock.token"
	connectTimeout = 3 * time.Second
	closeTimeout   = time.Second
)

// Caller is a session of an organisation with a database; exported fields are set before use. It is not safe for
// concurrent use.
type Caller struct {
	Addresses    []string // of the proxies' caller listeners
	Organisation string
	Password     string
	Database     string
	ReadClass    string // read class of the session, may be empty
	Start        int    // position in Addresses of the first proxy

	connection *pgconn.PgConn
	token      string
	moves      int
}

// Answer is what a request returned.
type Answer struct {
	Rows [][]string
	Tag  string
}

// Exec runs a request by the simple protocol, connecting first when necessary. Its error carries an Outcome.
func (c *Caller) Exec(ctx context.Context, sql string) (Answer, error) {
	if err := c.ensure(ctx); err != nil {
		return Answer{}, err
	}

	results, err := c.connection.Exec(ctx, sql).ReadAll()
	c.keep()

	if err != nil {
		return Answer{}, c.failed(err)
	}

	return answer(results), nil
}

// Query runs a request with parameters by the extended protocol.
func (c *Caller) Query(ctx context.Context, sql string, parameters ...string) (Answer, error) {
	if err := c.ensure(ctx); err != nil {
		return Answer{}, err
	}

	values := make([][]byte, len(parameters))
	for i, p := range parameters {
		values[i] = []byte(p)
	}

	r := c.connection.ExecParams(ctx, sql, values, nil, nil, nil).Read()
	c.keep()

	if r.Err != nil {
		return Answer{}, c.failed(r.Err)
	}

	return answer([]*pgconn.Result{r}), nil
}

// Move leaves the current proxy and connects to the next one with the session's token.
func (c *Caller) Move(ctx context.Context) error {
	c.Close()
	c.moves++

	return c.ensure(ctx)
}

// Token returns the session token reported last.
func (c *Caller) Token() string {
	return c.token
}

// Connection returns the open connection, nil when there is none.
func (c *Caller) Connection() *pgconn.PgConn {
	return c.connection
}

// Close ends the connection; the token is kept.
func (c *Caller) Close() {
	if c.connection == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()

	_ = c.connection.Close(ctx)
	c.connection = nil
}

// ensure connects to the next proxy that accepts; a failure before anything was sent is an outcome of not run.
func (c *Caller) ensure(ctx context.Context) error {
	if c.connection != nil && !c.connection.IsClosed() {
		return nil
	}

	var err error

	for range c.Addresses {
		if err = c.connect(ctx); err == nil {
			return nil
		}

		c.moves++
	}

	return lab.NotRunError(lab.ReasonConnectionLost, err)
}

func (c *Caller) connect(ctx context.Context) error {
	address := c.Addresses[(c.Start+c.moves)%len(c.Addresses)]
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(c.Organisation, c.Password), Host: address, Path: "/" + c.Database,
		RawQuery: "sslmode=disable",
	}

	config, err := pgconn.ParseConfig(u.String())
	if err != nil {
		return errors.Newf("parse connection settings: %w", err)
	}

	config.ConnectTimeout = connectTimeout
	config.DialFunc = (&net.Dialer{Timeout: connectTimeout}).DialContext

	if c.token != "" {
		config.RuntimeParams[tokenParameter] = c.token
	}

	if c.ReadClass != "" {
		config.RuntimeParams["laburnumlock.read_class"] = c.ReadClass
	}

	c.connection, err = pgconn.ConnectConfig(ctx, config)
	if err != nil {
		c.connection = nil

		return errors.Newf("connect to proxy %s: %w", address, err)
	}

	c.keep()

	return nil
}

// keep remembers the token that the proxy reported.
func (c *Caller) keep() {
	if t := c.connection.ParameterStatus(tokenParameter); t != "" {
		c.token = t
	}
}

// failed classifies an error: the proxy's own outcomes, an upstream's error (proved not to have run), or a lost
// connection, after which the outcome is unknown.
func (c *Caller) failed(err error) error {
	var p *pgconn.PgError
	if !errors.As(err, &p) {
		c.Close()

		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, err)
	}

	if c.connection.IsClosed() {
		c.connection = nil
	}

	switch p.Code {
	case lab.SQLStateUnknown:
		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, err)
	case lab.SQLStateNotRun:
		return lab.NotRunError(lab.ReasonOverload, err)
	case codeAdminShutdown: // a proxy that drains ends sessions between requests only
		return lab.NotRunError(lab.ReasonDraining, err)
	default:
		return lab.NotRunError(lab.ReasonRejected, err)
	}
}

func answer(results []*pgconn.Result) Answer {
	var a Answer

	for _, r := range results {
		a.Tag = r.CommandTag.String()

		for _, row := range r.Rows {
			values := make([]string, len(row))
			for i, v := range row {
				values[i] = string(v)
			}

			a.Rows = append(a.Rows, values)
		}
	}

	return a
}
