package labplatformcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labquotabucket"
	"laburnumlock.dev/lab/control/process/labquotalender"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/process/labquotaholder"
	"laburnumlock.dev/lab/process/labquotarecorder"
)

const (
	// quotaHorizon is the time of usual use for which a control instance holds tokens. It covers a change of the leader.
	quotaHorizon = 1700 * time.Millisecond
	// quotaAverage is the time constant of the average use by which tokens are held.
	quotaAverage = 3 * time.Second
	// quotaReserve is the number of further tokens for each organisation in use, so that a rare operation seldom waits for the
	// leader.
	quotaReserve    = 1
	quotaReserveFor = 30 * time.Second
	// quotaInterval is the interval at which tokens are requested in advance and reports are sent to the leader.
	quotaInterval = 200 * time.Millisecond
	// quotaSpacing is the minimum time between two requests to the leader. Those of several proxies then travel together.
	quotaSpacing = 10 * time.Millisecond
	// quotaTimeout bounds a request to the leader. It ends early when another leader is known.
	quotaTimeout     = 700 * time.Millisecond
	quotaLeaderCheck = 50 * time.Millisecond
	// quotaWait bounds how long a proxy's request waits for tokens of the leader. It is shorter than the proxy waits before it
	// asks another instance.
	quotaWait = 110 * time.Millisecond
	// quotaLogInterval is the interval at which ended refusals are looked for.
	quotaLogInterval = time.Second
)

// quota grants tokens of the organisations' quotas: as the leader to the control instances, and as each instance to the
// proxies that ask it.
type quota struct {
	controller *Controller
	recorder   *labquotarecorder.Recorder
	urgent     chan struct{} // holds one element when a proxy waits for tokens of the leader

	mutex   sync.Mutex
	holder  *labquotaholder.Holder
	lender  *labquotalender.Lender
	changed chan struct{} // closed and replaced after each response of the leader

	bucketMutex sync.Mutex
	term        uint64 // term of buckets
	buckets     *labquotabucket.Buckets
}

func newQuota(k *Controller) *quota {
	recorder := &labquotarecorder.Recorder{Clock: k.Clock, Log: k.Log}
	holder := &labquotaholder.Holder{
		Instance: lab.InstanceID(k.Address), Horizon: quotaHorizon, Average: quotaAverage, Reserve: quotaReserve,
		ReserveFor: quotaReserveFor, OnExpired: recorder.Expired,
	}

	return &quota{
		controller: k, recorder: recorder, urgent: make(chan struct{}, 1), holder: holder, changed: make(chan struct{}),
		lender: &labquotalender.Lender{Holder: holder, FirstNumber: k.firstQuotaNumber()},
	}
}

// firstQuotaNumber returns a random number that takes few bytes in messages.
func (k *Controller) firstQuotaNumber() uint64 {
	return uint64(uint32(k.Random.Uint64()))
}

// handle answers the request of a proxy. It waits for tokens that operations of the proxy wait for, at most quotaWait.
func (q *quota) handle(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r lab.QuotaRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	receivedAt := q.controller.Clock.Now()
	needs := make([]int, len(r.Items))

	for i, t := range r.Items {
		needs[i] = max(0, t.Need)
	}

	var a lab.QuotaResponse

	q.mutex.Lock()
	q.lender.Drop(receivedAt)
	q.lender.Record(r, receivedAt)
	q.lender.Grant(r, needs, &a, receivedAt)

	if sum(needs) == 0 {
		q.lender.GrantAdvance(r, &a, receivedAt)
	} else {
		q.awaitLocked(ctx, r, needs, &a, receivedAt)
	}

	q.mutex.Unlock()
	q.record(r, a)

	return a, nil
}

// awaitLocked waits for the leader until all needs are granted or refused. The mutex must be held; it is released meanwhile.
func (q *quota) awaitLocked(
	ctx context.Context, r lab.QuotaRequest, needs []int, a *lab.QuotaResponse, receivedAt time.Duration,
) {
	timer := time.NewTimer(quotaWait)
	defer timer.Stop()

	for waiting := true; waiting && sum(needs) > 0; {
		q.awaitNeeds(r, needs, 1)

		changed := q.changed
		q.mutex.Unlock()
		q.ask()

		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}

		q.mutex.Lock()
		q.awaitNeeds(r, needs, -1)

		// The proxy counts the validity from the sending of its request, which was received at receivedAt.
		now := q.controller.Clock.Now()
		granted := len(a.Grants)
		q.lender.Grant(r, needs, a, now)

		for i := range a.Grants[granted:] {
			a.Grants[granted+i].ValidFor += now - receivedAt
		}
	}

	for i, n := range needs {
		if n > 0 {
			a.Refusals = append(a.Refusals, lab.QuotaRefusal{Item: i, RetryAfter: quotaWait, NoContact: true})
		}
	}
}

// awaitNeeds adds the needs of a request to those that the next request to the leader covers, or removes them.
func (q *quota) awaitNeeds(r lab.QuotaRequest, needs []int, sign int) {
	now := q.controller.Clock.Now()

	for i, n := range needs {
		if n > 0 {
			q.holder.Await(r.Items[i].Organisation, sign*n, now)
		}
	}
}

func sum(numbers []int) int {
	out := 0
	for _, n := range numbers {
		out += n
	}

	return out
}

// record counts what a response to a proxy grants and refuses.
func (q *quota) record(r lab.QuotaRequest, a lab.QuotaResponse) {
	for _, g := range a.Grants {
		q.recorder.Granted(r.Items[g.Item].Organisation, g.Granted)
	}

	for _, f := range a.Refusals {
		q.recorder.Refused(r.Items[f.Item].Organisation, 1, f.NoContact)
	}
}

// ask makes run send a request to the leader soon.
func (q *quota) ask() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// run requests tokens from the leader until the context ends.
func (q *quota) run(ctx context.Context) error {
	timer := time.NewTimer(quotaInterval)
	defer timer.Stop()

	var logged time.Duration

	for ctx.Err() == nil {
		timer.Reset(quotaInterval)

		select {
		case <-ctx.Done():
			return nil
		case <-q.urgent:
		case <-timer.C:
		}

		if err := q.exchange(ctx); err != nil {
			q.controller.Log.Debug().Err(err).Msg("quota_request_failed")
		}

		if now := q.controller.Clock.Now(); now-logged > quotaLogInterval {
			logged = now

			q.recorder.LogEnded()
		}

		_ = q.controller.Clock.Sleep(ctx, quotaSpacing) // returns early only when the context ends
	}

	return nil
}

// exchange sends one request to the leader, if there is something to request or report.
func (q *quota) exchange(ctx context.Context) error {
	address, ok := q.leaderAddress()
	if !ok {
		return lab.ErrNotLeader
	}

	sentAt := q.controller.Clock.Now()

	q.mutex.Lock()
	q.lender.Drop(sentAt)
	r, ok := q.holder.Request(address, sentAt)
	q.mutex.Unlock()

	if !ok {
		return nil
	}

	a, err := q.call(ctx, address, r)

	q.mutex.Lock()
	defer q.mutex.Unlock()

	q.holder.Done(r)

	if err != nil {
		return errors.Newf("request tokens from %s: %w", address, err)
	}

	q.holder.Apply(address, r, a, sentAt, q.controller.Clock.Now())
	close(q.changed)
	q.changed = make(chan struct{})

	return nil
}

// leaderAddress returns the process address of the leader, which may be this instance.
func (q *quota) leaderAddress() (string, bool) {
	if q.controller.Leading() {
		return q.controller.Address, true
	}

	l, ok := q.controller.leader()

	return labvoters.Address(l), ok
}

// call sends a request to the leader. It gives up when another leader is known.
func (q *quota) call(ctx context.Context, address string, r lab.QuotaRequest) (lab.QuotaResponse, error) {
	if address == q.controller.Address {
		return q.grant(r)
	}

	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()

	var a lab.QuotaResponse

	done := make(chan error, 1)

	go func() { done <- q.controller.Transport.Call(ctx, address, methodQuota, r, &a) }()

	check := time.NewTicker(quotaLeaderCheck)
	defer check.Stop()

	for {
		select {
		case err := <-done:
			return a, err
		case <-check.C:
			if now, ok := q.leaderAddress(); ok && now != address {
				cancel()

				return lab.QuotaResponse{}, errors.CombineErrors(lab.ErrNotLeader, <-done)
			}
		}
	}
}

// handleControl answers the request of a control instance to the leader.
func (q *quota) handleControl(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r lab.QuotaRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	return q.grant(r)
}

// grant grants tokens from the buckets as the leader. A leader starts with empty buckets in each term.
func (q *quota) grant(r lab.QuotaRequest) (lab.QuotaResponse, error) {
	k := q.controller

	q.bucketMutex.Lock()
	defer q.bucketMutex.Unlock()

	now := k.Clock.Now()

	l := k.participation().group.Leadership()
	if !l.IsLeader || l.Term < q.term {
		return lab.QuotaResponse{}, lab.ErrNotLeader
	}

	if l.Term != q.term {
		q.term = l.Term
		q.buckets = &labquotabucket.Buckets{
			Tolerance: k.QuotaTolerance, Since: l.Since, Overlap: electionMin, FirstNumber: k.firstQuotaNumber(),
		}
	}

	return q.buckets.Exchange(r, k.configuration().Organisation, now), nil
}
