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
	// maxConcurrentLogins bounds concurrent logins, whose password hashing needs much processor time.
	maxConcurrentLogins = 16
	// sourceAddressCount spreads connections over loopback addresses, so that the ports of one suffice.
	sourceAddressCount = 4
)

// Clients are the callers of the measurement of callers. They read the wanted number of connections from In, a line for
// each step, and write the number to Out when as many are open. Exported fields are set before Run.
type Clients struct {
	Address string // of the front
	In      io.Reader
	Out     io.Writer

	open []*pgconn.PgConn
}

// Run opens connections until the input ends, and then closes them.
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
			return errors.Newf("report connections: %w", err)
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
		return nil, errors.Newf("connect caller %d: %w", number, err)
	}

	return p, nil
}
