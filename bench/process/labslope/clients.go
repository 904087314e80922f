package labslope

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"
)

const (
	// maxConcurrentLogins limits concurrent logins, since their password hashing needs much processor time.
	maxConcurrentLogins = 16
	// sourceAddressCount is the number of loopback addresses from which connections are opened, since a single address
	// has too few ports for all of them.
	sourceAddressCount = 4
)

// Clients opens the client connections of the measurement "callers". Each line of In holds a number of connections.
// When that many connections are open, Clients writes the number to Out. Exported fields are set before Run.
type Clients struct {
	Address string // host:port of the client listener
	In      io.Reader
	Out     io.Writer

	open []*pgconn.PgConn
}

// Run opens connections until the end of the input and then closes all of them.
func (c *Clients) Run(ctx context.Context) error {
	lines := bufio.NewScanner(c.In)
	for lines.Scan() {
		n, err := strconv.Atoi(strings.TrimSpace(lines.Text()))
		if err != nil {
			return errors.Newf("read number of connections: %w", err)
		}

		if err := c.openUpTo(ctx, n); err != nil {
			return err
		}

		if _, err := fmt.Fprintln(c.Out, n); err != nil {
			return errors.Newf("write number of connections: %w", err)
		}
	}

	for _, o := range c.open {
		_ = o.Conn().Close()
	}

	return errors.Wrap(lines.Err(), "read input")
}

func (c *Clients) openUpTo(ctx context.Context, count int) error {
	first := len(c.open)
	if count <= first {
		return nil
	}

	c.open = append(c.open, make([]*pgconn.PgConn, count-first)...)

	var g errgroup.Group

	g.SetLimit(maxConcurrentLogins)

	for i := first; i < count; i++ {
		g.Go(func() error {
			var err error

			c.open[i], err = c.connect(ctx, i)

			return err
		})
	}

	return errors.Wrap(g.Wait(), "open connections")
}

func (c *Clients) connect(ctx context.Context, number int) (*pgconn.PgConn, error) {
	s, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		organisationName, sessionPassword, c.Address, sessionDatabase))
	if err != nil {
		return nil, errors.Newf("parse connection settings: %w", err)
	}

	s.DialFunc = (&net.Dialer{
		LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+number%sourceAddressCount))},
	}).DialContext

	p, err := pgconn.ConnectConfig(ctx, s)
	if err != nil {
		return nil, errors.Newf("connect client %d: %w", number, err)
	}

	return p, nil
}
