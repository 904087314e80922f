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
	// HeartbeatInterval is the time between heartbeats without events; a third of the lease, so that two may be lost.
	HeartbeatInterval = time.Second
	callTimeout       = 900 * time.Millisecond
	retryPause        = 100 * time.Millisecond
	// eventPause bounds the rate of heartbeats that events cause.
	eventPause = 20 * time.Millisecond
)

// Routes is the catalog in force, which the agent keeps up to date.
type Routes interface {
	lab.Catalog
	// Apply brings a delta into force or returns an error and changes nothing.
	Apply(delta lab.CatalogDelta) error
}

// Agent implements lab.Lease and lab.MemberObserver for one proxy.
type Agent struct {
	Self    lab.Instance
	Peers   lab.PeerClient
	Clock   lab.Clock
	Random  lab.Random
	Routes  Routes
	Control []string           // process addresses of the control instances
	Held    func() []lab.Grant // grants in use, asked before each heartbeat
	// Renewed is called with the grants of each accepted answer and the end of the lease on Clock.
	Renewed func(grants []lab.Grant, until time.Duration)
	Log     zerolog.Logger

	current  atomic.Pointer[lease]
	draining atomic.Bool
	wake     chan struct{}
	once     sync.Once

	mutex         sync.Mutex
	requestID     uint64
	leaderTerm    uint64
	target        int // position in order
	order         []string
	statuses      map[string]lab.MemberStatus
	announcements map[string]lab.Announcement

	heartbeats expvar.Int
	failures   expvar.Int
	refused    expvar.Int
}

// Valid reports whether the lease is in force.
func (a *Agent) Valid() bool {
	return a.current.Load().alive(a.Clock.Now())
}

// Grant returns the grant of a duty while the lease is in force.
func (a *Agent) Grant(duty lab.GatewayRole) (lab.Grant, bool) {
	l := a.current.Load()
	if !l.alive(a.Clock.Now()) {
		return lab.Grant{}, false
	}

	g, ok := l.grants[duty]

	return g, ok
}

// Grants returns every grant in force.
func (a *Agent) Grants() []lab.Grant {
	l := a.current.Load()
	if !l.alive(a.Clock.Now()) {
		return nil
	}

	grants := make([]lab.Grant, 0, len(l.grants))
	for _, g := range l.grants {
		grants = append(grants, g)
	}

	return grants
}

// Observe queues a status for the next heartbeat and sends that at once.
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

// Drain tells control that this proxy is leaving, so that its duties move.
func (a *Agent) Drain() {
	a.draining.Store(true)
	a.Wake()
}

// Wake makes the next heartbeat go out at once.
func (a *Agent) Wake() {
	a.start()

	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Variables returns the agent's counters for publishing.
func (a *Agent) Variables() *expvar.Map {
	m := new(expvar.Map)
	m.Set("heartbeats", &a.heartbeats)
	m.Set("failures", &a.failures)
	m.Set("refused_answers", &a.refused)

	return m
}

// Run sends heartbeats until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.start()

	for ctx.Err() == nil {
		pause, err := a.beat(ctx)
		if err != nil {
			a.failures.Add(1)
			a.Log.Debug().Err(err).Msg("heartbeat_failed")

			pause = retryPause + time.Duration(a.Random.Uint64()%uint64(retryPause))
		}

		a.wait(ctx, pause)
	}

	return nil
}

func (a *Agent) start() {
	a.once.Do(func() {
		a.wake = make(chan struct{}, 1)
		a.order = Rotate(a.Control, a.Self.ID)
	})
}

func (a *Agent) wait(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()

	select {
	case <-a.wake:
		_ = a.Clock.Sleep(ctx, eventPause)
	case <-t.C:
	case <-ctx.Done():
	}
}

// beat sends one heartbeat, applies its answer and returns the pause until the next one; a failure makes that go to
// another control instance.
func (a *Agent) beat(ctx context.Context) (time.Duration, error) {
	h, address := a.prepare()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	sent := a.Clock.Now()

	var answer lab.HeartbeatResponse
	if err := a.Peers.Call(ctx, address, lab.MethodHeartbeat, h, &answer); err != nil {
		a.restore(h)
		a.next("")

		return 0, errors.Newf("send heartbeat to %s: %w", address, err)
	}

	a.heartbeats.Add(1)

	if answer.TTL <= 0 {
		a.restore(h)
		a.next(answer.LeaderAddress)

		return 0, errors.Newf("control instance %s renewed nothing, leader is %q", address, answer.LeaderAddress)
	}

	if answer.NextDelay > 0 {
		return min(max(answer.NextDelay, eventPause), HeartbeatInterval), a.accept(sent, answer)
	}

	return HeartbeatInterval, a.accept(sent, answer)
}

func (a *Agent) prepare() (lab.Heartbeat, string) {
	held := a.Held()

	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.requestID++
	_, confirmed := a.Routes.Version()
	h := lab.Heartbeat{
		RequestID:    a.requestID,
		Instance:     a.Self,
		Draining:     a.draining.Load(),
		AppliedIndex: confirmed,
		Grants:       held,
	}

	for _, s := range a.statuses {
		h.Statuses = append(h.Statuses, s)
	}

	for _, s := range a.announcements {
		h.Announcements = append(h.Announcements, s)
	}

	a.statuses, a.announcements = nil, nil

	return h, a.order[a.target]
}

// restore queues again what a lost heartbeat carried, unless something newer is queued.
func (a *Agent) restore(h lab.Heartbeat) {
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

	for _, s := range h.Announcements {
		if _, newer := a.announcements[s.Database+"/"+s.Member]; !newer {
			a.announcements[s.Database+"/"+s.Member] = s
		}
	}
}

// next chooses the control instance for the next heartbeat: the named leader, else the next one in order.
func (a *Agent) next(leader string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if i := slices.Index(a.order, leader); i >= 0 && i != a.target {
		a.target = i

		return
	}

	a.target = (a.target + 1) % len(a.order)
}

// accept applies an answer. One of an older leader is refused: it may come from an instance that was isolated.
func (a *Agent) accept(sent time.Duration, answer lab.HeartbeatResponse) error {
	a.mutex.Lock()
	stale := answer.LeaderTerm < a.leaderTerm
	a.leaderTerm = max(a.leaderTerm, answer.LeaderTerm)
	id := a.requestID
	a.mutex.Unlock()

	if stale || answer.RequestID != id {
		a.refused.Add(1)
		a.next("")

		return errors.Newf("answer %d of leader term %d is stale", answer.RequestID, answer.LeaderTerm)
	}

	if err := a.Routes.Apply(answer.Delta); err != nil {
		a.refused.Add(1)

		return errors.Newf("apply catalog delta: %w", err)
	}

	l := newLease(sent, answer)
	a.current.Store(l)

	if a.Renewed != nil {
		a.Renewed(answer.Grants, l.deadline)
	}

	return nil
}
