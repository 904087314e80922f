package labrelay

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labfrontier"
)

const (
	// shunTime is how long a gateway that failed is asked last.
	shunTime = time.Second
	// defaultWait is how long a gateway may let a statement queue when the sender sets no limit.
	defaultWait = 500 * time.Millisecond
	// typicalWeight is how many round trips the typical one is averaged over.
	typicalWeight = 8
	// refreshTimeout bounds the question for a position; a gateway is usually in the same zone.
	refreshTimeout = 100 * time.Millisecond
)

// Source provides channels to one member through gateways; exported fields are set before use.
type Source struct {
	Target   lab.Announcement
	Peers    lab.Peers
	Gateways func() []lab.Instance // in order of preference
	Frontier *labfrontier.Frontier // takes the positions that gateways tell
	Clock    lab.Clock

	mutex   sync.Mutex
	inUse   int
	typical time.Duration
	shunned map[lab.InstanceID]time.Duration // until when
}

var _ lab.MemberSource = (*Source)(nil)

var errNoGateway = errors.New("no gateway is known")

// Member returns the member.
func (s *Source) Member() lab.Announcement {
	return s.Target
}

// Acquire returns a channel; the gateway's connection is bound by the first operations on it, for which the context's
// deadline limits the wait.
func (s *Source) Acquire(ctx context.Context, priority int) (lab.MemberChannel, error) {
	g, ok := s.choose()
	if !ok {
		return nil, errNoGateway
	}

	wait := defaultWait
	if t, ok := ctx.Deadline(); ok {
		wait = time.Until(t)
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.inUse++

	return &channel{source: s, gateway: g, priority: priority, wait: wait}, nil
}

// choose returns the first gateway that did not fail lately, or the first.
func (s *Source) choose() (lab.Instance, bool) {
	all := s.Gateways()
	if len(all) == 0 {
		return lab.Instance{}, false
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, g := range all {
		if s.Clock.Now() >= s.shunned[g.ID] {
			return g, true
		}
	}

	return all[0], true
}

func (s *Source) shun(g lab.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.shunned == nil {
		s.shunned = map[lab.InstanceID]time.Duration{}
	}

	s.shunned[g] = s.Clock.Now() + shunTime
}

func (s *Source) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.inUse--
}

func (s *Source) observe(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.typical += (d - s.typical) / typicalWeight
}

// Load returns how many requests use a channel; gateways decide whether one is free.
func (s *Source) Load() (inProgress int, free, up bool) {
	known := len(s.Gateways()) > 0

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.inUse, known, known
}

// Typical returns how long operations of late took from being sent to their answer, with their wait at the gateway.
func (s *Source) Typical() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.typical
}

// Refresh asks a gateway for the primary's position.
func (s *Source) Refresh() {
	c, err := s.Acquire(context.Background(), 0)
	if err != nil {
		return
	}

	defer c.Discard()

	_, _ = c.Run(time.Now().Add(refreshTimeout), nil) // without a position the read goes to the primary
}

// channel is a stream to a gateway.
type channel struct {
	source   *Source
	gateway  lab.Instance
	priority int
	wait     time.Duration

	stream lab.Stream
	in     *msgpack.Decoder
	out    *msgpack.Encoder
}

var _ lab.MemberChannel = (*channel)(nil)

// Member returns the member.
func (c *channel) Member() lab.Announcement {
	return c.source.Target
}

// Idle is 0: the gateway looks after the connection.
func (*channel) Idle() time.Duration {
	return 0
}

// Run passes the operations on.
func (c *channel) Run(
	deadline time.Time, values map[string]string, operations ...lab.Operation,
) ([]lab.OperationResult, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()

	started, asked := time.Now(), c.source.Clock.Now()

	if c.stream == nil {
		if err := c.open(ctx); err != nil {
			c.source.shun(c.gateway.ID)

			return nil, lab.NotRun(lab.ReasonMisrouted, errors.Newf("open stream to gateway: %w", err))
		}
	}

	stop := context.AfterFunc(ctx, c.stream.Cancel)
	defer stop()

	r := request{Wait: c.wait, Deadline: time.Until(deadline), Values: values, Operations: operations}
	if err := c.out.Encode(&r); err != nil {
		return nil, c.lost(ctx, "send to gateway", err)
	}

	var a response
	if err := c.in.Decode(&a); err != nil {
		return nil, c.lost(ctx, "read from gateway", err)
	}

	if !a.Position.IsZero() {
		c.source.Frontier.Note(asked-a.Age, a.Position)
	}

	if a.Failure != "" {
		return nil, c.failed(a)
	}

	c.source.observe(time.Since(started))

	return a.Results, nil
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

// lost is the error of a stream that broke; the operations may run or have run.
func (c *channel) lost(ctx context.Context, what string, err error) error {
	if ctx.Err() != nil {
		return errors.Newf("%s %s: %w", what, c.gateway.ID, os.ErrDeadlineExceeded)
	}

	c.source.shun(c.gateway.ID)

	return lab.Unknown(lab.ReasonMisrouted, errors.Newf("%s %s: %w", what, c.gateway.ID, err))
}

// failed translates a gateway's failure.
func (c *channel) failed(a response) error {
	err := errors.Newf("gateway %s: %s", c.gateway.ID, a.Failure)

	switch {
	case a.Busy:
		return lab.NotRun(lab.ReasonOverload, err)
	case a.NotRun:
		c.source.shun(c.gateway.ID)

		return lab.NotRun(lab.ReasonMisrouted, err)
	case a.Late:
		return errors.Mark(err, os.ErrDeadlineExceeded)
	}

	return err
}

// Release ends the stream.
func (c *channel) Release() {
	c.Discard()
}

// Discard ends the stream; the gateway rolls back what is open.
func (c *channel) Discard() {
	c.source.release()

	if c.stream != nil {
		c.stream.Cancel()
	}
}

// Linger ends the stream; the gateway waits for late answers.
func (c *channel) Linger() {
	c.Discard()
}
