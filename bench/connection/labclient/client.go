package labclient

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
	sqlStateAdminShutdown = "57P01"

	tokenParameter = "laburnumlock.token"
	connectTimeout = 3 * time.Second
	closeTimeout   = time.Second
)

// Client is a client session that logs in as an organisation and uses one database. Exported fields are set before the
// first use. It is not safe for concurrent use.
type Client struct {
	Addresses    []string // host:port of the proxies' client listeners
	Organisation string
	Password     string
	Database     string
	ReadClass    string // read class of the session; empty for none
	FirstAddress int    // index in Addresses of the first proxy to connect to

	connection *pgconn.PgConn // last connection; nil or closed if none is open
	token      string         // session token that a proxy reported last
	moves      int            // number of times that the session changed to the next proxy
}

// Result holds the rows and the command tag that a request returned.
type Result struct {
	Rows       [][]string
	CommandTag string
}

// Exec runs a request with the simple query protocol and connects first if there is no open connection. Its error
// carries a lab.Outcome.
func (c *Client) Exec(ctx context.Context, sql string) (Result, error) {
	if err := c.ensureConnected(ctx); err != nil {
		return Result{}, err
	}

	results, err := c.connection.Exec(ctx, sql).ReadAll()
	c.saveToken()

	if err != nil {
		return Result{}, c.outcomeError(err)
	}

	return newResult(results), nil
}

// Query runs a request and its parameters with the extended query protocol. It connects and reports errors as Exec
// does.
func (c *Client) Query(ctx context.Context, sql string, parameters ...string) (Result, error) {
	if err := c.ensureConnected(ctx); err != nil {
		return Result{}, err
	}

	values := make([][]byte, len(parameters))
	for i, p := range parameters {
		values[i] = []byte(p)
	}

	r := c.connection.ExecParams(ctx, sql, values, nil, nil, nil).Read()
	c.saveToken()

	if r.Err != nil {
		return Result{}, c.outcomeError(r.Err)
	}

	return newResult([]*pgconn.Result{r}), nil
}

// Move closes the connection to the current proxy and connects to the next proxy with the session's token.
func (c *Client) Move(ctx context.Context) error {
	c.Close()
	c.moves++

	return c.ensureConnected(ctx)
}

// Token returns the session token that a proxy reported last.
func (c *Client) Token() string {
	return c.token
}

// Connection returns the open connection, or nil if there is none.
func (c *Client) Connection() *pgconn.PgConn {
	return c.connection
}

// Close closes the connection and keeps the session token.
func (c *Client) Close() {
	if c.connection == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()

	_ = c.connection.Close(ctx)
	c.connection = nil
}

// ensureConnected connects if no connection is open. It tries the current proxy first and then the next ones. If no
// proxy accepts a connection, its error has the outcome "not run", since no request was sent.
func (c *Client) ensureConnected(ctx context.Context) error {
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

func (c *Client) connect(ctx context.Context) error {
	address := c.Addresses[(c.FirstAddress+c.moves)%len(c.Addresses)]
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

	c.saveToken()

	return nil
}

// saveToken stores the session token that the proxy reported.
func (c *Client) saveToken() {
	if t := c.connection.ParameterStatus(tokenParameter); t != "" {
		c.token = t
	}
}

// outcomeError adds an outcome to an error. If the proxy returned the error, its SQLSTATE tells the outcome. If an
// upstream returned it, the outcome is "not run", since a failed request changes nothing. After a lost connection the
// outcome is unknown.
func (c *Client) outcomeError(err error) error {
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
	case sqlStateAdminShutdown: // a draining proxy closes sessions only between requests
		return lab.NotRunError(lab.ReasonDraining, err)
	default:
		return lab.NotRunError(lab.ReasonRejected, err)
	}
}

func newResult(results []*pgconn.Result) Result {
	var result Result

	for _, r := range results {
		result.CommandTag = r.CommandTag.String()

		for _, row := range r.Rows {
			values := make([]string, len(row))
			for i, v := range row {
				values[i] = string(v)
			}

			result.Rows = append(result.Rows, values)
		}
	}

	return result
}
