package labquotaclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labquotaholder"
	"laburnumlock.dev/lab/process/labquotarecorder"
)

const (
	// horizon is the time of average use for which tokens are held, and minimum the number below which none are. Tokens that
	// are spread over some ninety proxies serve few operations, whereas a control instance has them for all proxies of its
	// zone: with twice the horizon, the tokens in use last 0.4 s instead of 1.3 s without a leader.
	horizon = 500 * time.Millisecond
	average = time.Second
	minimum = 3
	// firstWait is how long an operation waits for the first control instance, maxWait how long for the first and a second.
	firstWait = 130 * time.Millisecond
	maxWait   = 250 * time.Millisecond
	// reportInterval is the interval at which tokens are requested in advance and reports are sent if no operation waits.
	reportInterval = 500 * time.Millisecond
	// callTimeout bounds a call. Tokens that arrive after the operation has given up serve later ones. A call that times out
	// ends the connection to the instance, which the watches use too.
	callTimeout = time.Second
	// maxCalls bounds the calls under way. A call can wait for the leader while operations of other organisations need tokens
	// that the control instance has.
	maxCalls = 4
	// unreachedTime is the time for which operations are refused at once after two instances had no contact to the leader.
	unreachedTime = 100 * time.Millisecond
	// avoidTime is the time for which an instance is not asked by waiting operations after it has not answered.
	avoidTime = 3 * time.Second
	// endedInterval is the interval at which ended refusals are looked for.
	endedInterval = time.Second
)

// The errors of operations that get no token.
var (
	errLimit     = errors.New("the limit of the organisation is reached")
	errNoContact = errors.New("no control instance has tokens")
)

// Client implements lab.OperationQuota. Its exported fields are set before Run.
type Client struct {
	Instance  lab.InstanceID
	Peers     lab.PeerClient
	Instances func() []string // returns the process addresses of the control instances, the preferred one first
	Clock     lab.Clock
	Recorder  *labquotarecorder.Recorder

	mutex   sync.Mutex
	holder  labquotaholder.Holder
	waiters map[string][]*waiter // by organisation, the longest waiting first
	// unreached are the times until which a second instance is not asked for the tokens of an organisation.
	unreached map[string]time.Duration
	peers     map[string]*peer // by process address
	calls     int              // number of calls to the preferred instance that are under way
	calledAt  time.Duration    // time of the last of them
}

// peer is a control instance.
type peer struct {
	open     int           // number of calls under way
	since    time.Duration // time since which there are any, or of the last response while there are
	failed   bool          // whether the last call got no response
	failedAt time.Duration
}

// waiter is an operation that waits for a token.
type waiter struct {
	result chan result // has room for all results
	told   bool        // whether the result says that the first instance had no contact
	second bool        // whether a second instance is asked
}

// result is what a waiter gets: a token, an error, or neither if a second instance should be asked.
type result struct {
	token lab.QuotaToken
	err   error
}

// Prepare initializes the client. It must be called once, before all other methods.
func (c *Client) Prepare() {
	c.holder = labquotaholder.Holder{
		Instance: c.Instance, Horizon: horizon, Average: average, Minimum: minimum, OnExpired: c.Recorder.Expired,
	}
	c.waiters, c.unreached, c.peers = map[string][]*waiter{}, map[string]time.Duration{}, map[string]*peer{}
}

// Take takes a token for one operation of the organisation. It waits for at most maxWait if this proxy holds none.
func (c *Client) Take(ctx context.Context, organisation lab.OrganisationPolicy) (lab.QuotaToken, error) {
	if organisation.Name == "" || organisation.Rate <= 0 {
		return lab.QuotaToken{}, nil
	}

	token, w, err := c.begin(organisation.Name)
	if w != nil {
		token, err = c.await(ctx, organisation.Name, w)
	}

	if err != nil {
		c.Recorder.Refused(organisation.Name, 1, !errors.Is(err, errLimit))

		return lab.QuotaToken{}, lab.NotRunError(lab.ReasonOverload, err)
	}

	c.Recorder.Granted(organisation.Name, 1)

	return token, nil
}

// begin takes a token that this proxy holds, or returns a waiter if it holds none and may ask for one.
func (c *Client) begin(organisation string) (lab.QuotaToken, *waiter, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	now := c.Clock.Now()

	if len(c.waiters[organisation]) == 0 {
		if token, n, _ := c.holder.Take(organisation, 1, 0, now); n > 0 {
			if c.holder.Low(organisation, now) {
				c.callLocked(now)
			}

			return token, nil, nil
		}
	}

	f, refused := c.holder.Refused(organisation, now)

	switch {
	case refused && !f.NoContact:
		return lab.QuotaToken{}, nil, errLimit
	case refused && now < c.unreached[organisation]:
		return lab.QuotaToken{}, nil, errNoContact
	}

	w := &waiter{result: make(chan result, 2)} // one without and one with a token or an error
	c.waiters[organisation] = append(c.waiters[organisation], w)
	c.holder.Await(organisation, 1, now)

	// While the first instance is silent it is still asked, since only a response shows that it is back.
	if instances := c.Instances(); refused || (len(instances) > 0 && c.silentLocked(instances[0], now)) {
		w.tell()
	}

	c.callLocked(now)

	return lab.QuotaToken{}, w, nil
}

// silentLocked reports whether an instance has not answered lately. The mutex must be held.
func (c *Client) silentLocked(address string, now time.Duration) bool {
	p, ok := c.peers[address]

	return ok && ((p.open > 0 && now-p.since > firstWait) || (p.failed && now-p.failedAt < avoidTime))
}

// tell makes the operation of a waiter ask a second instance. The client's mutex must be held.
func (w *waiter) tell() {
	if !w.told {
		w.told = true
		w.result <- result{}
	}
}

// await waits for the result of a waiter. It asks a second instance if the first has no contact to the leader or doesn't
// answer in time.
func (c *Client) await(ctx context.Context, organisation string, w *waiter) (lab.QuotaToken, error) {
	timer := time.NewTimer(firstWait)
	defer timer.Stop()

	end := c.Clock.Now() + maxWait

	for asked := false; ; {
		select {
		case r := <-w.result:
			if r != (result{}) {
				return r.token, r.err
			}

			if asked {
				continue
			}
		case <-timer.C:
			if asked {
				return c.giveUp(organisation, w)
			}
		case <-ctx.Done():
			return c.giveUp(organisation, w)
		}

		if !c.askSecond(organisation) {
			return c.giveUp(organisation, w)
		}

		asked = true

		timer.Reset(end - c.Clock.Now())
	}
}

// giveUp removes a waiter. It may have got a result in the meantime.
func (c *Client) giveUp(organisation string, w *waiter) (lab.QuotaToken, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for {
		select {
		case r := <-w.result:
			if r != (result{}) {
				return r.token, r.err
			}
		default:
			c.removeLocked(organisation, slices.Index(c.waiters[organisation], w))

			return lab.QuotaToken{}, errNoContact
		}
	}
}

// removeLocked removes the waiter with the index, if there is one. The mutex must be held.
func (c *Client) removeLocked(organisation string, i int) {
	if i < 0 {
		return
	}

	c.holder.Await(organisation, -1, c.Clock.Now())

	c.waiters[organisation] = slices.Delete(c.waiters[organisation], i, i+1)
	if len(c.waiters[organisation]) == 0 {
		delete(c.waiters, organisation)
	}
}

// askSecond asks a second instance for the tokens of all waiters of the organisation for which it has not been asked. It
// returns false if there is no second instance.
func (c *Client) askSecond(organisation string) bool {
	instances := c.Instances()
	if len(instances) < 2 {
		return false
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	now := c.Clock.Now()

	// If all are silent, the nearest is as good as any other.
	second := instances[1]
	if i := slices.IndexFunc(instances[1:], func(a string) bool { return !c.silentLocked(a, now) }); i >= 0 {
		second = instances[1+i]
	}

	need := 0

	for _, w := range c.waiters[organisation] {
		if !w.second {
			w.second = true
			need++
		}
	}

	if need > 0 {
		r := lab.QuotaRequest{Instance: c.Instance, Items: []lab.QuotaItem{{Organisation: organisation, Need: need}}}
		c.startLocked(second, r, true, now)
	}

	return true
}

// End ends the use of a token.
func (c *Client) End(token lab.QuotaToken, used bool) {
	if token == (lab.QuotaToken{}) {
		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	now := c.Clock.Now()

	if used {
		c.holder.Settle(token, 1, 0, now)

		return
	}

	c.holder.Settle(token, 0, 1, now)
	c.serveLocked(token.Organisation, now)
}

// Run requests tokens in advance and sends reports until the context ends.
func (c *Client) Run(ctx context.Context) error {
	var ended time.Duration

	for c.Clock.Sleep(ctx, reportInterval) == nil {
		now := c.Clock.Now()

		c.mutex.Lock()
		if now-c.calledAt >= reportInterval {
			c.callLocked(now)
		}
		c.mutex.Unlock()

		if now-ended >= endedInterval {
			ended = now

			c.Recorder.LogEnded()
		}
	}

	return nil
}

// callLocked sends a request to the preferred instance in the background if there is something to request or report. The
// mutex must be held.
func (c *Client) callLocked(now time.Duration) {
	if c.calls >= maxCalls {
		return
	}

	instances := c.Instances()
	if len(instances) == 0 {
		return
	}

	r, ok := c.holder.Request(instances[0], now)
	if !ok {
		return
	}

	c.calls++
	c.calledAt = now
	c.startLocked(instances[0], r, false, now)
}

// startLocked sends a request to an instance in the background. The mutex must be held.
func (c *Client) startLocked(address string, r lab.QuotaRequest, second bool, now time.Duration) {
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}

	if p.open == 0 {
		p.since = now
	}

	p.open++

	go c.call(address, r, second)
}

// endLocked records the end of a call. The mutex must be held.
func (c *Client) endLocked(address string, err error, now time.Duration) {
	p := c.peers[address]
	p.open--
	p.failed = err != nil

	if err != nil {
		p.failedAt = now
	} else {
		p.since = now
	}
}

// call sends a request to an instance and applies the response.
func (c *Client) call(address string, r lab.QuotaRequest, second bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()

	sentAt := c.Clock.Now()

	var a lab.QuotaResponse

	err := c.Peers.Call(ctx, address, lab.MethodQuota, r, &a)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	now := c.Clock.Now()

	c.endLocked(address, err, now)

	if !second {
		c.holder.Done(r)
	}

	if err == nil {
		c.holder.Apply(address, r, a, sentAt, now)
	}

	noContact := map[int]bool{}
	for _, f := range a.Refusals {
		noContact[f.Item] = f.NoContact
	}

	for i, t := range r.Items {
		c.serveLocked(t.Organisation, now)

		if t.Need > 0 && (err != nil || noContact[i]) {
			c.unreachedLocked(t.Organisation, second, now)
		}
	}

	if second {
		return
	}

	c.calls--

	if len(c.waiters) > 0 {
		c.callLocked(now)
	}
}

// serveLocked gives tokens to the waiters of an organisation, or refuses them if the limit is reached. The mutex must be
// held.
func (c *Client) serveLocked(organisation string, now time.Duration) {
	for len(c.waiters[organisation]) > 0 {
		w := c.waiters[organisation][0]

		token, n, _ := c.holder.Take(organisation, 1, 0, now)
		if n > 0 {
			w.result <- result{token: token}
		} else if f, refused := c.holder.Refused(organisation, now); refused && !f.NoContact {
			w.result <- result{err: errLimit}
		} else {
			return
		}

		c.removeLocked(organisation, 0)
	}
}

// unreachedLocked records that an instance had no contact to the leader or did not answer. The mutex must be held.
func (c *Client) unreachedLocked(organisation string, second bool, now time.Duration) {
	if second {
		c.unreached[organisation] = now + unreachedTime
	}

	for i := len(c.waiters[organisation]) - 1; i >= 0; i-- {
		w := c.waiters[organisation][i]

		if second && w.second {
			w.result <- result{err: errNoContact}
			c.removeLocked(organisation, i)
		} else if !second {
			w.tell()
		}
	}
}
