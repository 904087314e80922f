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
	// maxHops bounds the gateways that one statement asks: under overload all are busy, and each question crosses the
	// narrow link between the regions.
	maxHops = 3
	// hopWait is how long a statement waits for a connection at a gateway before the next one is asked: about the work
	// of a statement, since a connection that a resting transaction holds may stay in use for seconds. At the last one
	// it waits for the rest of its time.
	hopWait = 30 * time.Millisecond
	// hopMargin is kept of a deadline for the answer's way from a gateway: 12 ms between regions, and two machines that
	// may be busy.
	hopMargin = 25 * time.Millisecond
)

// channel is a stream to a gateway; it is bound to one gateway once that has a connection for it.
type channel struct {
	source   *Source
	priority int
	wait     time.Duration // for a connection, at all gateways together

	gateway lab.Instance
	bound   bool
	stream  lab.Stream
	in      *msgpack.Decoder
	out     *msgpack.Encoder
}

var _ lab.PooledConnection = (*channel)(nil)

// Member returns the member.
func (c *channel) Member() lab.Announcement {
	return c.source.Target
}

// Direct is false: what goes wrong on the way says nothing about the member.
func (*channel) Direct() bool {
	return false
}

// IdleTime is 0: the gateway looks after the connection.
func (*channel) IdleTime() time.Duration {
	return 0
}

// Run passes the operations on. Until a gateway has a connection, it asks one after the other.
func (c *channel) Run(
	deadline time.Time, values map[string]string, operations ...lab.Operation,
) ([]lab.OperationResult, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()

	r := request{Values: values, Operations: operations}
	if c.bound {
		return c.ask(ctx, deadline, r)
	}

	asked := map[lab.InstanceID]bool{}

	for hop, end := 1, time.Now().Add(c.wait); ; hop++ {
		if err := c.start(ctx, asked); err != nil {
			return nil, err
		}

		// A gateway that let a statement wait until its deadline could neither run it nor say so in time.
		r.Wait = max(0, min(time.Until(end), time.Until(deadline)/2))
		if hop < maxHops {
			r.Wait = min(r.Wait, hopWait)
		}

		results, err := c.ask(ctx, deadline, r)
		if !passed(err) || hop == maxHops || !time.Now().Before(end) || ctx.Err() != nil {
			return results, err
		}

		c.stop()
	}
}

// passed reports whether a gateway had no connection for the statement, so that the next one may be asked.
func passed(err error) bool {
	o, reason := lab.OutcomeOf(err)

	return err != nil && o == lab.OutcomeNotRun && (reason == lab.ReasonOverload || reason == lab.ReasonMisrouted)
}

// start opens a stream to the next gateway.
func (c *channel) start(ctx context.Context, asked map[lab.InstanceID]bool) error {
	g, ok := c.source.take(asked)
	if !ok {
		return lab.NotRunError(lab.ReasonMisrouted, errNotConnected)
	}

	asked[g.ID] = true
	c.gateway = g

	started := c.source.Clock.Now()
	if err := c.open(ctx); err != nil {
		c.source.Reach.RecordTimeout(g.ID, started)
		c.source.give(g.ID)

		return lab.NotRunError(lab.ReasonMisrouted, errors.Newf("open stream to gateway: %w", err))
	}

	return nil
}

func (c *channel) open(ctx context.Context) error {
	t := c.source.Target

	s, err := c.source.Peers.Open(ctx, c.gateway.Address, Method, header{
		Service: t.Database, Member: t.Member, Incarnation: t.Incarnation, Priority: c.priority,
	})
	if err != nil {
		return err
	}

	c.stream, c.in, c.out = s, msgpack.NewDecoder(s), msgpack.NewEncoder(s)

	return nil
}

// ask sends one request on the stream and reads its response.
func (c *channel) ask(ctx context.Context, deadline time.Time, r request) ([]lab.OperationResult, error) {
	started, asked := time.Now(), c.source.Clock.Now()

	stop := context.AfterFunc(ctx, c.stream.Cancel)
	defer stop()

	r.Deadline = time.Until(deadline) - hopMargin
	if err := c.out.Encode(&r); err != nil {
		return nil, c.lost(ctx, asked, "send to gateway", err)
	}

	var a response
	if err := c.in.Decode(&a); err != nil {
		return nil, c.lost(ctx, asked, "read from gateway", err)
	}

	c.source.Reach.RecordResponse(c.gateway.ID)

	if !a.Position.IsZero() {
		c.source.Frontier.Record(asked-a.Age, a.Position)
	}

	if a.Failure != "" {
		return nil, c.failed(a)
	}

	c.bound = true
	c.source.observe(time.Since(started))

	return a.Results, nil
}

// lost is the error of a stream that broke; the operations may run or have run.
func (c *channel) lost(ctx context.Context, asked time.Duration, what string, err error) error {
	missed := c.source.Reach.RecordTimeout(c.gateway.ID, asked)

	if ctx.Err() != nil {
		c.source.observe(c.source.Clock.Now() - asked)

		return errors.Newf("%s %s (out of reach: %t): %w", what, c.gateway.ID, missed, os.ErrDeadlineExceeded)
	}

	return lab.UnknownOutcomeError(lab.ReasonMisrouted, errors.Newf("%s %s: %w", what, c.gateway.ID, err))
}

// failed translates a gateway's failure.
func (c *channel) failed(a response) error {
	err := errors.Newf("gateway %s: %s", c.gateway.ID, a.Failure)

	switch {
	case a.Busy:
		return lab.NotRunError(lab.ReasonOverload, err)
	case a.NotRun:
		c.source.shun(c.gateway.ID)

		return lab.NotRunError(lab.ReasonMisrouted, err)
	case a.Late:
		return errors.Mark(err, os.ErrDeadlineExceeded)
	}

	return err
}

// stop ends the stream; the gateway rolls back what is open.
func (c *channel) stop() {
	if c.stream == nil {
		return
	}

	c.stream.Cancel()
	c.stream = nil
	c.source.give(c.gateway.ID)
}

// Release ends the stream.
func (c *channel) Release() {
	c.Discard()
}

// Discard ends the stream; the gateway rolls back what is open.
func (c *channel) Discard() {
	c.source.release()
	c.stop()
}

// ReleaseAfterDrain ends the stream; the gateway waits for late answers.
func (c *channel) ReleaseAfterDrain() {
	c.Discard()
}
