package labrelay

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labmeteredreader"
	"laburnumlock.dev/lab/proxy/process/laboutlier"
	"laburnumlock.dev/lab/proxy/process/labpositionhistory"
)

// Directory provides this proxy's connections to members and the positions of the primaries.
type Directory interface {
	// LocalPool returns the direct connections to a member, or false when this proxy has none or can't reach the member.
	LocalPool(service, member string, incarnation uint64) (lab.ConnectionPool, bool)
	// PrimaryHistory returns the recorded positions of a service's primary.
	PrimaryHistory(service string) *labpositionhistory.History
	// MayServe reports whether statements of the organisation may run here, which the sender knows from the configuration
	// with the given version.
	MayServe(organisation string, version uint64) bool
	// Refuses reports whether a statement for a member is refused that another member in the given condition can run.
	Refuses(service, member string, alternative laboutlier.Condition) bool
	// Condition returns how well a member serves at this proxy.
	Condition(service, member string) laboutlier.Condition
}

// Server runs the statements that other proxies relay through this one, on the connections of this proxy.
type Server struct {
	Directory Directory
	Clock     lab.Clock
	Log       zerolog.Logger
	Memory    lab.MemoryBudget // bounds the requests and responses; nil for no limit

	stopping atomic.Bool
}

// Stop refuses statements and transactions that would begin from now on, so that their senders try other gateways.
func (s *Server) Stop() {
	s.stopping.Store(true)
}

// Serve handles one stream until the sender closes it.
func (s *Server) Serve(
	ctx context.Context, from lab.InstanceID, decode func(any) error, stream lab.Stream,
) error {
	var h header
	if err := decode(&h); err != nil {
		return err
	}

	rs := &relayedStream{server: s, header: h}
	defer rs.close()

	meter := &labmeteredreader.Reader{Source: stream, Memory: s.Memory, Evict: func() {
		s.Log.Warn().Str("from", string(from)).Msg("relayed_request_exceeds_memory")
		stream.Cancel()
	}}
	defer meter.Reset()

	in, out := msgpack.NewDecoder(meter), msgpack.NewEncoder(stream)

	for {
		var r request
		if err := in.Decode(&r); err != nil {
			return nil //nolint:nilerr // the sender has no more requests
		}

		a := rs.run(ctx, r)
		s.addPosition(&a, h.Service)
		a.Condition = s.Directory.Condition(h.Service, h.Member)
		meter.Reset()

		if err := s.send(out, &a); err != nil {
			stream.Cancel() // the sender must not wait for the response

			return err
		}
	}
}

// send sends a response. The results take memory until the sender has received them.
func (s *Server) send(out *msgpack.Encoder, a *response) error {
	if s.Memory != nil {
		size := resultBytes(a.Results)
		if !s.Memory.Reserve(size) {
			return errors.Newf("send response: no memory is left for %d bytes", size)
		}

		defer s.Memory.Release(size)
	}

	return errors.Wrap(out.Encode(a), "send response")
}

// resultBytes returns about the memory of results.
func resultBytes(results []lab.OperationResult) int {
	const rowOverhead = 32

	size := 0

	for i := range results {
		for _, w := range results[i].Rows {
			size += len(w) + rowOverhead
		}
	}

	return size
}

// addPosition adds the newest known position of the service's primary to a response.
func (s *Server) addPosition(a *response, service string) {
	requestedAt, p, ok := s.Directory.PrimaryHistory(service).Newest()
	if ok {
		a.Position, a.Age = p, s.Clock.Now()-requestedAt
	}
}

// relayedStream is the state of one stream at the gateway.
type relayedStream struct {
	server          *Server
	header          header
	conn            lab.PooledConnection // connection to the member, nil between transactions
	responsePending bool                 // whether a late response may still arrive on the connection
}

func (s *relayedStream) run(ctx context.Context, r request) response {
	if len(r.Operations) == 0 {
		return response{}
	}

	deadline := time.Now().Add(r.Deadline)

	if s.conn == nil {
		if s.server.stopping.Load() {
			return response{Failure: "the gateway is stopping", NotRun: true}
		}

		if h := &s.header; h.Alternative != nil && s.server.Directory.Refuses(h.Service, h.Member, *h.Alternative) {
			return response{Failure: "the member is ejected here", NotRun: true, Ejected: true}
		}

		if err := s.bind(ctx, min(r.Wait, r.Deadline)); err != nil {
			_, reason := lab.OutcomeOf(err)

			return response{
				Failure: err.Error(), NotRun: true, Busy: errors.Is(err, context.DeadlineExceeded),
				Rejected: reason == lab.ReasonRejected,
			}
		}
	}

	results, err := s.conn.Run(deadline, r.Values, r.Operations...)
	if err != nil {
		return s.fail(err)
	}

	if results[len(results)-1].Status == lab.StatusIdle {
		s.conn.Release()
		s.conn = nil
	}

	return response{Results: results}
}

func (s *relayedStream) bind(ctx context.Context, wait time.Duration) error {
	p, ok := s.server.Directory.LocalPool(s.header.Service, s.header.Member, s.header.Incarnation)
	if !ok {
		return errors.Newf("no connections to %s here", s.header.Member)
	}

	if !s.server.Directory.MayServe(s.header.Organisation, s.header.Version) {
		return lab.NotRunError(lab.ReasonRejected, errors.Newf("organisation %q is not configured here", s.header.Organisation))
	}

	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()

	c, err := p.Acquire(ctx, lab.AcquireRequest{Organisation: s.header.Organisation, Priority: s.header.Priority})
	if err != nil {
		return errors.Newf("wait for connection: %w", err)
	}

	s.conn = c

	return nil
}

func (s *relayedStream) fail(err error) response {
	o, _ := lab.OutcomeOf(err)
	a := response{
		Failure: err.Error(), NotRun: o == lab.OutcomeNotRun, TimedOut: errors.Is(err, os.ErrDeadlineExceeded),
	}

	s.responsePending = a.TimedOut && !a.NotRun
	s.close()

	s.server.Log.Info().Err(err).Str("service", s.header.Service).Str("member", s.header.Member).Msg("relayed_unanswered")

	return a
}

// close gives up the connection, if one is bound. An open transaction is rolled back.
func (s *relayedStream) close() {
	if s.conn == nil {
		return
	}

	c := s.conn
	s.conn = nil

	if s.responsePending {
		c.ReleaseAfterDrain()

		return
	}

	c.Discard()
}
