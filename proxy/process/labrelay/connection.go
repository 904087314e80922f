package labrelay

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labmeteredreader"
)

const (
	// maxGatewayTries bounds the gateways that one statement tries. Under overload all gateways are busy, and each try
	// crosses the link between the regions, which has little bandwidth.
	maxGatewayTries = 3
	// gatewayWait bounds the wait for a connection at each gateway except the last one tried. It is about the execution
	// time of a statement. A longer wait could be useless, since an idle transaction may hold the connection for
	// seconds. At the last gateway the statement waits for the rest of its time.
	gatewayWait = 30 * time.Millisecond
	// responseMargin is the part of the time until a deadline that is reserved for sending the response from the
	// gateway: 12 ms between regions, plus delays on the two machines, which may be busy.
	responseMargin = 25 * time.Millisecond
)

// connection is a connection to a member through a gateway. It stays bound to the first gateway that ran operations for
// it.
type connection struct {
	source  *Source
	request lab.AcquireRequest
	wait    time.Duration // maximum total wait for a connection at the gateways that are tried

	gateway lab.Instance // gateway that was chosen last
	bound   bool         // whether the gateway has run operations
	stream  lab.Stream   // stream to the gateway, nil when none is open
	meter   *labmeteredreader.Reader
	decoder *msgpack.Decoder
	encoder *msgpack.Encoder
}

var _ lab.PooledConnection = (*connection)(nil)

// Member returns the member.
func (c *connection) Member() lab.Announcement {
	return c.source.Target
}

// Direct returns false: a failure between the proxies says nothing about the member.
func (*connection) Direct() bool {
	return false
}

// IdleTime returns 0: the gateway checks its connection to the member itself.
func (*connection) IdleTime() time.Duration {
	return 0
}

// Run sends the operations to the gateway. An unbound connection tries gateways in turn until one has a connection to
// the member for the operations.
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

	for try, end := 1, time.Now().Add(c.wait); ; try++ {
		if err := c.openNext(ctx, tried); err != nil {
			return nil, err
		}

		// The wait at the gateway is at most half of the time left, so that the gateway can still run the statement, or
		// report in time that it has not run.
		r.Wait = max(0, min(time.Until(end), time.Until(deadline)/2))
		if try < maxGatewayTries {
			r.Wait = min(r.Wait, gatewayWait)
		}

		results, err := c.roundTrip(ctx, deadline, r)
		if !mayTryNext(err) || try == maxGatewayTries || !time.Now().Before(end) || ctx.Err() != nil {
			return results, err
		}

		c.closeStream()
	}
}

// mayTryNext reports whether the error means that the statement has not run because the gateway had no connection for
// it.
func mayTryNext(err error) bool {
	o, reason := lab.OutcomeOf(err)

	return err != nil && o == lab.OutcomeNotRun && (reason == lab.ReasonOverload || reason == lab.ReasonMisrouted)
}

// openNext chooses the next gateway, adds it to tried and opens a stream to it.
func (c *connection) openNext(ctx context.Context, tried map[lab.InstanceID]bool) error {
	g, ok := c.source.chooseGateway(c.request.Organisation, tried)
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
		Service: t.Database, Member: t.Member, Incarnation: t.Incarnation, Priority: c.request.Priority,
		Organisation: c.request.Organisation, Version: c.source.version(), Alternative: c.source.alternative(c.request),
	})
	if err != nil {
		return err
	}

	c.meter = &labmeteredreader.Reader{Source: s, Memory: c.source.Memory, Evict: s.Cancel}
	c.stream, c.decoder, c.encoder = s, msgpack.NewDecoder(c.meter), msgpack.NewEncoder(s)

	return nil
}

// roundTrip sends one request on the stream and reads the response. A response with results binds the connection to the
// gateway.
func (c *connection) roundTrip(ctx context.Context, deadline time.Time, r request) ([]lab.OperationResult, error) {
	started, sentAt := time.Now(), c.source.Clock.Now()

	stop := context.AfterFunc(ctx, c.stream.Cancel)
	defer stop()

	r.Deadline = time.Until(deadline) - responseMargin
	if err := c.encoder.Encode(&r); err != nil {
		return nil, c.streamError(ctx, sentAt, "send to gateway", err)
	}

	defer c.meter.Reset()

	var a response
	if err := c.decoder.Decode(&a); err != nil {
		return nil, c.streamError(ctx, sentAt, "read from gateway", err)
	}

	c.source.Reachability.RecordResponse(c.gateway.ID)

	if !a.Position.IsZero() {
		c.source.History.Record(sentAt-a.Age, a.Position)
	}

	if c.source.OnCondition != nil {
		c.source.OnCondition(a.Condition)
	}

	elapsed := time.Since(started)

	if a.Failure != "" {
		err := c.gatewayError(a)
		c.source.sample(r.Operations, a, err, elapsed)

		return nil, err
	}

	c.bound = true
	c.source.observeLatency(elapsed)
	c.source.sample(r.Operations, a, nil, elapsed)

	return a.Results, nil
}

// streamError returns the error for a stream that broke or timed out. The operations may have run or may still run.
func (c *connection) streamError(ctx context.Context, sentAt time.Duration, action string, err error) error {
	unreachable := c.source.Reachability.RecordTimeout(c.gateway.ID, sentAt)

	if ctx.Err() != nil {
		c.source.observeLatency(c.source.Clock.Now() - sentAt)

		return errors.Newf("%s %s (out of reach: %t): %w", action, c.gateway.ID, unreachable, os.ErrDeadlineExceeded)
	}

	err = errors.Newf("%s %s: %w", action, c.gateway.ID, err)

	if errors.Is(err, lab.ErrPeerStopped) {
		c.source.avoidGateway(c.gateway.ID)

		return lab.NotRunError(lab.ReasonMisrouted, err)
	}

	return lab.UnknownOutcomeError(lab.ReasonMisrouted, err)
}

// gatewayError returns the error for a failure that a gateway reported.
func (c *connection) gatewayError(a response) error {
	err := errors.Newf("gateway %s: %s", c.gateway.ID, a.Failure)

	switch {
	case a.Ejected:
		return lab.NotRunError(lab.ReasonEjected, err)
	case a.Busy:
		return lab.NotRunError(lab.ReasonOverload, err)
	case a.Rejected: // the gateway still serves the other organisations
		return lab.NotRunError(lab.ReasonRejected, err)
	case a.NotRun:
		c.source.avoidGateway(c.gateway.ID)

		return lab.NotRunError(lab.ReasonMisrouted, err)
	case a.TimedOut:
		return errors.Mark(err, os.ErrDeadlineExceeded)
	}

	return err
}

// closeStream ends the stream, if one is open. The gateway then rolls back an open transaction.
func (c *connection) closeStream() {
	if c.stream == nil {
		return
	}

	c.stream.Cancel()
	c.stream = nil
	c.source.releaseGateway(c.gateway.ID)
}

// Release ends the stream to the gateway, like Discard.
func (c *connection) Release() {
	c.Discard()
}

// Discard ends the stream. The gateway then rolls back an open transaction.
func (c *connection) Discard() {
	c.source.removeConnection()
	c.closeStream()
}

// ReleaseAfterDrain ends the stream, like Discard. The gateway itself waits for late responses of the member.
func (c *connection) ReleaseAfterDrain() {
	c.Discard()
}
