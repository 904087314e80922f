package labrelay

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

const (
	// maxGatewayTries bounds the gateways that one statement asks: under overload all are busy, and each question crosses the
	// narrow link between the regions.
	maxGatewayTries = 3
	// gatewayWait is how long a statement waits for a connection at a gateway before the next one is asked: about the work
	// of a statement, since a connection that a resting transaction holds may stay in use for seconds. At the last one
	// it waits for the rest of its time.
	gatewayWait = 30 * time.Millisecond
	// responseMargin is kept of a deadline for the answer's way from a gateway: 12 ms between regions, and two machines that
	// may be busy.
	responseMargin = 25 * time.Millisecond
)

// connection is a stream to a gateway; it is bound to one gateway once that has a connection for it.
type connection struct {
	source   *Source
	priority int
	wait     time.Duration // for a connection, at all gateways together

	gateway lab.Instance
	bound   bool
	stream  lab.Stream
	decoder *msgpack.Decoder
	encoder *msgpack.Encoder
}

var _ lab.PooledConnection = (*connection)(nil)

// Member returns the member.
func (c *connection) Member() lab.Announcement {
	return c.source.Target
}

// Direct is false: what goes wrong on the way says nothing about the member.
func (*connection) Direct() bool {
	return false
}

// IdleTime is 0: the gateway looks after the connection.
func (*connection) IdleTime() time.Duration {
	return 0
}

// Run passes the operations on. Until a gateway has a connection, it asks one after the other.
func (c *connection) Run(
	deadline time.Time, values map[string]string, operations ...lab.Operation,
) ([]lab.OperationResult, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()

	r := request{Values: values, Operations: operations}
	if c.bound {
		return c.roundTrip(ctx, deadline, r)
	}

	tried := map[lab.InstanceID]bool{}

	for hop, end := 1, time.Now().Add(c.wait); ; hop++ {
		if err := c.openNext(ctx, tried); err != nil {
			return nil, err
		}

		// A gateway that let a statement wait until its deadline could neither run it nor say so in time.
		r.Wait = max(0, min(time.Until(end), time.Until(deadline)/2))
		if hop < maxGatewayTries {
			r.Wait = min(r.Wait, gatewayWait)
		}

		results, err := c.roundTrip(ctx, deadline, r)
		if !mayTryNext(err) || hop == maxGatewayTries || !time.Now().Before(end) || ctx.Err() != nil {
			return results, err
		}

		c.closeStream()
	}
}

// mayTryNext reports whether a gateway had no connection for the statement, so that the next one may be asked.
func mayTryNext(err error) bool {
	o, reason := lab.OutcomeOf(err)

	return err != nil && o == lab.OutcomeNotRun && (reason == lab.ReasonOverload || reason == lab.ReasonMisrouted)
}

// openNext opens a stream to the next gateway.
func (c *connection) openNext(ctx context.Context, tried map[lab.InstanceID]bool) error {
	g, ok := c.source.chooseGateway(tried)
	if !ok {
		return lab.NotRunError(lab.ReasonMisrouted, errNotConnected)
	}

	tried[g.ID] = true
	c.gateway = g

	started := c.source.Clock.Now()
	if err := c.open(ctx); err != nil {
		c.source.Reachability.RecordTimeout(g.ID, started)
		c.source.releaseGateway(g.ID)

		return lab.NotRunError(lab.ReasonMisrouted, errors.Newf("open stream to gateway: %w", err))
	}

	return nil
}

func (c *connection) open(ctx context.Context) error {
	t := c.source.Target

	s, err := c.source.Peers.Open(ctx, c.gateway.Address, Method, header{
		Service: t.Database, Member: t.Member, Incarnation: t.Incarnation, Priority: c.priority,
	})
	if err != nil {
		return err
	}

	c.stream, c.decoder, c.encoder = s, msgpack.NewDecoder(s), msgpack.NewEncoder(s)

	return nil
}

// roundTrip sends one request on the stream and reads its response.
func (c *connection) roundTrip(ctx context.Context, deadline time.Time, r request) ([]lab.OperationResult, error) {
	started, sentAt := time.Now(), c.source.Clock.Now()

	stop := context.AfterFunc(ctx, c.stream.Cancel)
	defer stop()

	r.Deadline = time.Until(deadline) - responseMargin
	if err := c.encoder.Encode(&r); err != nil {
		return nil, c.streamError(ctx, sentAt, "send to gateway", err)
	}

	var a response
	if err := c.decoder.Decode(&a); err != nil {
		return nil, c.streamError(ctx, sentAt, "read from gateway", err)
	}

	c.source.Reachability.RecordResponse(c.gateway.ID)

	if !a.Position.IsZero() {
		c.source.History.Record(sentAt-a.Age, a.Position)
	}

	if a.Failure != "" {
		return nil, c.gatewayError(a)
	}

	c.bound = true
	c.source.observeLatency(time.Since(started))

	return a.Results, nil
}

// streamError is the error of a stream that broke; the operations may run or have run.
func (c *connection) streamError(ctx context.Context, sentAt time.Duration, what string, err error) error {
	unreachable := c.source.Reachability.RecordTimeout(c.gateway.ID, sentAt)

	if ctx.Err() != nil {
		c.source.observeLatency(c.source.Clock.Now() - sentAt)

		return errors.Newf("%s %s (out of reach: %t): %w", what, c.gateway.ID, unreachable, os.ErrDeadlineExceeded)
	}

	return lab.UnknownOutcomeError(lab.ReasonMisrouted, errors.Newf("%s %s: %w", what, c.gateway.ID, err))
}

// gatewayError translates a gateway's failure.
func (c *connection) gatewayError(a response) error {
	err := errors.Newf("gateway %s: %s", c.gateway.ID, a.Failure)

	switch {
	case a.Busy:
		return lab.NotRunError(lab.ReasonOverload, err)
	case a.NotRun:
		c.source.avoidGateway(c.gateway.ID)

		return lab.NotRunError(lab.ReasonMisrouted, err)
	case a.TimedOut:
		return errors.Mark(err, os.ErrDeadlineExceeded)
	}

	return err
}

// closeStream ends the stream; the gateway rolls back what is open.
func (c *connection) closeStream() {
	if c.stream == nil {
		return
	}

	c.stream.Cancel()
	c.stream = nil
	c.source.releaseGateway(c.gateway.ID)
}

// Release ends the stream.
func (c *connection) Release() {
	c.Discard()
}

// Discard ends the stream; the gateway rolls back what is open.
func (c *connection) Discard() {
	c.source.removeConnection()
	c.closeStream()
}

// ReleaseAfterDrain ends the stream; the gateway waits for late answers.
func (c *connection) ReleaseAfterDrain() {
	c.Discard()
}
