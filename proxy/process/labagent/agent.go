package labagent

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
)

const (
	// HeartbeatInterval is the time between regular heartbeats. It is a third of the lease's duration, so that the
	// lease stays valid when two consecutive heartbeats are lost.
	HeartbeatInterval = time.Second
	callTimeout       = 900 * time.Millisecond
	retryDelay        = 100 * time.Millisecond
	// minHeartbeatDelay is the minimum delay before a heartbeat that Wake or a response's NextDelay causes. It bounds
	// the rate of these heartbeats.
	minHeartbeatDelay = 20 * time.Millisecond
)

// Catalog is the proxy's catalog. The agent applies the changes that the control group sends.
type Catalog interface {
	lab.Catalog
	// Apply applies a delta. If it returns an error, the catalog is unchanged.
	Apply(delta lab.CatalogDelta) error
}

// Agent implements lab.Lease and lab.MemberObserver for one proxy.
type Agent struct {
	Self             lab.Instance
	Peers            lab.PeerClient
	Clock            lab.Clock
	Random           lab.Random
	Catalog          Catalog
	ControlAddresses []string           // host:port of each control instance
	HeldGrants       func() []lab.Grant // returns the grants in use; called before each heartbeat
	// OnRenewed is called after each accepted response with the grants of the response and the lease's expiry, which is
	// a value of Clock.Now. It may be nil.
	OnRenewed func(grants []lab.Grant, expiry time.Duration)
	Log       zerolog.Logger

	lease    atomic.Pointer[lease]
	draining atomic.Bool
	wake     chan struct{}
	once     sync.Once

	mutex         sync.Mutex
	requestID     uint64                      // request ID of the last heartbeat
	leaderTerm    uint64                      // highest consensus term that a response has stated
	controlIndex  int                         // index in controlOrder of the instance for the next heartbeat
	controlOrder  []string                    // ControlAddresses in the order of RotateAddresses
	statuses      map[string]lab.MemberStatus // statuses for the next heartbeat; the key is database/member
	announcements map[string]lab.Announcement // announcements for the next heartbeat; the key is database/member

	heartbeats expvar.Int // number of heartbeats to which a control instance responded
	failures   expvar.Int // number of heartbeats that did not renew the lease
	rejected   expvar.Int // number of responses that were stale or whose delta could not be applied
}

// Valid reports whether the lease has not expired.
func (a *Agent) Valid() bool {
	return a.lease.Load().valid(a.Clock.Now())
}

// Grant returns the grant of a gateway role if the lease is valid and includes the role.
func (a *Agent) Grant(role lab.GatewayRole) (lab.Grant, bool) {
	l := a.lease.Load()
	if !l.valid(a.Clock.Now()) {
		return lab.Grant{}, false
	}

	g, ok := l.grants[role]

	return g, ok
}

// Grants returns all grants if the lease is valid, otherwise none.
func (a *Agent) Grants() []lab.Grant {
	l := a.lease.Load()
	if !l.valid(a.Clock.Now()) {
		return nil
	}

	grants := make([]lab.Grant, 0, len(l.grants))
	for _, g := range l.grants {
		grants = append(grants, g)
	}

	return grants
}

// Observe queues a member status for the next heartbeat and calls Wake.
func (a *Agent) Observe(status lab.MemberStatus) {
	a.mutex.Lock()

	if a.statuses == nil {
		a.statuses = map[string]lab.MemberStatus{}
	}

	a.statuses[status.Database+"/"+status.Member] = status
	a.mutex.Unlock()
	a.Wake()
}

// Announce queues an upstream's announcement for the next heartbeat.
func (a *Agent) Announce(announcement lab.Announcement) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.announcements == nil {
		a.announcements = map[string]lab.Announcement{}
	}

	a.announcements[announcement.Database+"/"+announcement.Member] = announcement
}

// Drain tells the control group that this proxy is draining, so that its gateway roles move to other proxies.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.Wake()
}

// Wake makes Run send the next heartbeat without waiting for the interval.
func (a *Agent) Wake() {
	a.initialize()

	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Variables returns the agent's counters for the metrics.
func (a *Agent) Variables() *expvar.Map {
	m := new(expvar.Map)
	m.Set("heartbeats", &a.heartbeats)
	m.Set("failures", &a.failures)
	m.Set("refused_answers", &a.rejected)

	return m
}

// Run sends heartbeats until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.initialize()

	for ctx.Err() == nil {
		delay, err := a.sendHeartbeat(ctx)
		if err != nil {
			a.failures.Add(1)
			a.Log.Debug().Err(err).Msg("heartbeat_failed")

			delay = retryDelay + time.Duration(a.Random.Uint64()%uint64(retryDelay))
		}

		a.waitForNext(ctx, delay)
	}

	return nil
}

func (a *Agent) initialize() {
	a.once.Do(func() {
		a.wake = make(chan struct{}, 1)
		a.controlOrder = RotateAddresses(a.ControlAddresses, a.Self.ID)
	})
}

func (a *Agent) waitForNext(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay)
	defer t.Stop()

	select {
	case <-a.wake:
		_ = a.Clock.Sleep(ctx, minHeartbeatDelay)
	case <-t.C:
	case <-ctx.Done():
	}
}

// sendHeartbeat sends one heartbeat, applies its response and returns the delay until the next heartbeat. After a
// failure, the next heartbeat goes to another control instance.
func (a *Agent) sendHeartbeat(ctx context.Context) (time.Duration, error) {
	h, address := a.buildHeartbeat()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	sentAt := a.Clock.Now()

	var response lab.HeartbeatResponse
	if err := a.Peers.Call(ctx, address, lab.MethodHeartbeat, h, &response); err != nil {
		a.requeue(h)
		a.selectControl("")

		return 0, errors.Newf("send heartbeat to %s: %w", address, err)
	}

	a.heartbeats.Add(1)

	if response.TTL <= 0 {
		a.requeue(h)
		a.selectControl(response.LeaderAddress)

		return 0, errors.Newf("control instance %s did not renew, leader is %q", address, response.LeaderAddress)
	}

	if response.NextDelay > 0 {
		return min(max(response.NextDelay, minHeartbeatDelay), HeartbeatInterval), a.applyResponse(sentAt, response)
	}

	return HeartbeatInterval, a.applyResponse(sentAt, response)
}

func (a *Agent) buildHeartbeat() (lab.Heartbeat, string) {
	held := a.HeldGrants()

	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.requestID++
	_, appliedIndex := a.Catalog.Version()
	h := lab.Heartbeat{
		RequestID:    a.requestID,
		Instance:     a.Self,
		Draining:     a.draining.Load(),
		AppliedIndex: appliedIndex,
		Grants:       held,
	}

	for _, s := range a.statuses {
		h.Statuses = append(h.Statuses, s)
	}

	for _, an := range a.announcements {
		h.Announcements = append(h.Announcements, an)
	}

	a.statuses, a.announcements = nil, nil

	return h, a.controlOrder[a.controlIndex]
}

// requeue puts the statuses and announcements of a failed heartbeat back into the queue. Newer ones that were queued
// meanwhile stay.
func (a *Agent) requeue(h lab.Heartbeat) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.statuses == nil {
		a.statuses = map[string]lab.MemberStatus{}
	}

	if a.announcements == nil {
		a.announcements = map[string]lab.Announcement{}
	}

	for _, s := range h.Statuses {
		if _, newer := a.statuses[s.Database+"/"+s.Member]; !newer {
			a.statuses[s.Database+"/"+s.Member] = s
		}
	}

	for _, an := range h.Announcements {
		if _, newer := a.announcements[an.Database+"/"+an.Member]; !newer {
			a.announcements[an.Database+"/"+an.Member] = an
		}
	}
}

// selectControl selects the control instance for the next heartbeat. It selects the instance at the leader's address,
// or the next instance in controlOrder if that address is empty, unknown or already selected.
func (a *Agent) selectControl(leader string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if i := slices.Index(a.controlOrder, leader); i >= 0 && i != a.controlIndex {
		a.controlIndex = i

		return
	}

	a.controlIndex = (a.controlIndex + 1) % len(a.controlOrder)
}

// applyResponse applies a response. A response that states an earlier consensus term than a previous response is
// rejected, because it may come from a former leader that is isolated.
func (a *Agent) applyResponse(sentAt time.Duration, response lab.HeartbeatResponse) error {
	a.mutex.Lock()
	stale := response.LeaderTerm < a.leaderTerm
	a.leaderTerm = max(a.leaderTerm, response.LeaderTerm)
	id := a.requestID
	a.mutex.Unlock()

	if stale || response.RequestID != id {
		a.rejected.Add(1)
		a.selectControl("")

		return errors.Newf("response %d of leader term %d is stale", response.RequestID, response.LeaderTerm)
	}

	if err := a.Catalog.Apply(response.Delta); err != nil {
		a.rejected.Add(1)

		return errors.Newf("apply catalog delta: %w", err)
	}

	l := newLease(sentAt, response)
	a.lease.Store(l)

	if a.OnRenewed != nil {
		a.OnRenewed(response.Grants, l.expiry)
	}

	return nil
}
