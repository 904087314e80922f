package labprober

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"laburnumlock.dev/lab"
)

const (
	statusTimeout  = 2 * time.Second
	promoteTimeout = 8 * time.Second // keeps a promotion within the 10 s target for a primary change
)

// Prober implements lab.Prober. It logs in to the upstreams as the proxy system's own database user.
type Prober struct {
	User     string
	Password string
}

// Status reads a member's role and WAL positions.
func (p *Prober) Status(ctx context.Context, member lab.Announcement) (lab.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()

	c, err := p.connect(ctx, member)
	if err != nil {
		return lab.MemberStatus{}, err
	}

	defer func() { _ = c.Close(ctx) }()

	return readStatus(ctx, c, member)
}

// Promote makes a member the primary. In the returned status, Replayed is the switch point: the WAL
// position at which the new primary term starts.
func (p *Prober) Promote(ctx context.Context, member lab.Announcement) (lab.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()

	c, err := p.connect(ctx, member)
	if err != nil {
		return lab.MemberStatus{}, err
	}

	defer func() { _ = c.Close(ctx) }()

	if s, err := readStatus(ctx, c, member); err != nil || s.InRecovery {
		if err != nil {
			return lab.MemberStatus{}, err
		}

		if _, err := queryRow(ctx, c, lab.PromoteQuery, 1); err != nil {
			return lab.MemberStatus{}, errors.Newf("promote %s: %w", member.Member, err)
		}
	}

	return p.promotedStatus(ctx, c, member)
}

func (p *Prober) promotedStatus(ctx context.Context, c *pgconn.PgConn, member lab.Announcement) (lab.MemberStatus, error) {
	s, err := readStatus(ctx, c, member)
	if err != nil {
		return lab.MemberStatus{}, err
	}

	if s.InRecovery {
		return s, errors.Newf("member %s is still in recovery after its promotion", member.Member)
	}

	r, err := queryRow(ctx, c, lab.SwitchPointQuery, 1)
	if err != nil {
		return s, errors.Newf("read switch point of %s: %w", member.Member, err)
	}

	offset, err := lab.ParseLSN(r[0])
	if err != nil {
		return s, err
	}

	s.Replayed = lab.WALPosition{Term: s.Replayed.Term, Offset: offset}

	return s, nil
}

func (p *Prober) connect(ctx context.Context, member lab.Announcement) (*pgconn.PgConn, error) {
	u := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(p.User, p.Password),
		Host:     member.Address,
		Path:     "/" + member.Database,
		RawQuery: "sslmode=prefer&application_name=laburnumlock-control",
	}

	c, err := pgconn.Connect(ctx, u.String())
	if err != nil {
		return nil, errors.Newf("connect to member %s: %w", member.Member, err)
	}

	return c, nil
}

func readStatus(ctx context.Context, c *pgconn.PgConn, member lab.Announcement) (lab.MemberStatus, error) {
	s := lab.MemberStatus{Database: member.Database, Member: member.Member, Reachable: true}

	r, err := queryRow(ctx, c, lab.PositionQuery, 4)
	if err != nil {
		return s, errors.Newf("read position of %s: %w", member.Member, err)
	}

	s.InRecovery = r[0] == "t"

	term, err := strconv.ParseUint(r[1], 10, 32)
	if err != nil {
		return s, errors.Newf("parse timeline %q of %s: %w", r[1], member.Member, err)
	}

	s.Replayed.Term, s.Received.Term = lab.PrimaryTerm(term), lab.PrimaryTerm(term)

	if s.Replayed.Offset, err = lab.ParseLSN(r[2]); err != nil {
		return s, err
	}

	s.Received.Offset, err = lab.ParseLSN(r[3])

	return s, err
}

// queryRow runs a query and returns its only row, which must have the given number of columns.
func queryRow(ctx context.Context, c *pgconn.PgConn, query string, width int) ([]string, error) {
	results, err := c.Exec(ctx, query).ReadAll()
	if err != nil {
		return nil, errors.Newf("run query: %w", err)
	}

	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != width {
		return nil, errors.Newf("query %q did not return one row of %d columns", query, width)
	}

	values := make([]string, width)
	for i, v := range results[0].Rows[0] {
		values[i] = string(v)
	}

	return values, nil
}
