package labrelay

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labfrontier"
)

// Members is what a gateway knows of members.
type Members interface {
	// Local returns this proxy's own connections to a member, and false when it has none or can't reach it.
	Local(service, member string, incarnation uint64) (lab.ConnectionPool, bool)
	// Frontier returns the positions of a service's primary.
	Frontier(service string) *labfrontier.History
}

// Server lends connections to other proxies.
type Server struct {
	Members Members
	Clock   lab.Clock
	Log     zerolog.Logger
}

// Serve handles one stream.
func (s *Server) Serve(
	ctx context.Context, _ lab.InstanceID, decode func(any) error, stream lab.Stream,
) error {
	var h header
	if err := decode(&h); err != nil {
		return err
	}

	l := &loan{server: s, header: h}
	defer l.end()

	in, out := msgpack.NewDecoder(stream), msgpack.NewEncoder(stream)

	for {
		var r request
		if err := in.Decode(&r); err != nil {
			return nil //nolint:nilerr // the sender has no more requests
		}

		a := l.run(ctx, r)
		s.addPosition(&a, h.Service)

		if err := out.Encode(&a); err != nil {
			return errors.Newf("send response: %w", err)
		}
	}
}

func (s *Server) addPosition(a *response, service string) {
	asked, p, ok := s.Members.Frontier(service).Newest()
	if ok {
		a.Position, a.Age = p, s.Clock.Now()-asked
	}
}

// loan is the part of one stream.
type loan struct {
	server *Server
	header header
	conn   lab.PooledConnection // nil between transactions
	late   bool                 // an answer on the connection is outstanding
}

func (l *loan) run(ctx context.Context, r request) response {
	if len(r.Operations) == 0 {
		return response{}
	}

	deadline := time.Now().Add(r.Deadline)

	if l.conn == nil {
		if err := l.bind(ctx, min(r.Wait, r.Deadline)); err != nil {
			return response{Failure: err.Error(), NotRun: true, Busy: errors.Is(err, context.DeadlineExceeded)}
		}
	}

	results, err := l.conn.Run(deadline, r.Values, r.Operations...)
	if err != nil {
		return l.fail(err)
	}

	if results[len(results)-1].Status == lab.StatusIdle {
		l.conn.Release()
		l.conn = nil
	}

	return response{Results: results}
}

func (l *loan) bind(ctx context.Context, wait time.Duration) error {
	m, ok := l.server.Members.Local(l.header.Service, l.header.Member, l.header.Incarnation)
	if !ok {
		return errors.Newf("no connections to %s here", l.header.Member)
	}

	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()

	c, err := m.Acquire(ctx, l.header.Priority)
	if err != nil {
		return errors.Newf("wait for connection: %w", err)
	}

	l.conn = c

	return nil
}

func (l *loan) fail(err error) response {
	o, _ := lab.OutcomeOf(err)
	a := response{
		Failure: err.Error(), NotRun: o == lab.OutcomeNotRun, Late: errors.Is(err, os.ErrDeadlineExceeded),
	}

	l.late = a.Late && !a.NotRun
	l.end()

	l.server.Log.Info().Err(err).Str("service", l.header.Service).Str("member", l.header.Member).Msg("relayed_unanswered")

	return a
}

// end gives the connection back; what is open on it is rolled back.
func (l *loan) end() {
	if l.conn == nil {
		return
	}

	c := l.conn
	l.conn = nil

	if l.late {
		c.ReleaseAfterDrain()

		return
	}

	c.Discard()
}
