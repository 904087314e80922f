package labplatformcontrol

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labfailover"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

const (
	reconcileInterval = 100 * time.Millisecond
	// replacementTimeout bounds one attempt to replace a primary. An unfinished replacement is attempted again.
	replacementTimeout = 8 * time.Second
	// leaderListenTime is how long a new leader waits for announcements before it replaces a primary. A member
	// announces itself every 1.2 s. If it gets no response, it announces itself to another instance a second later.
	leaderListenTime = 2500 * time.Millisecond
	// replacementRetryDelay is the delay after a failed replacement.
	replacementRetryDelay = 150 * time.Millisecond
	// probeTimeout bounds one probe of a primary over a new connection. It is far longer than the round trip of 24 ms
	// between regions and the 12 ms for a new connection.
	probeTimeout    = 250 * time.Millisecond
	probeRetryDelay = 60 * time.Millisecond // delay between two probes that fail at once
	// announcedMaxAge is how old the last announcement of a running member may be. It covers two announcement intervals.
	announcedMaxAge = 2500 * time.Millisecond
	// silentProbeInterval is the interval at which a member that has stopped announcing itself is probed.
	silentProbeInterval = time.Second
)

// reconcile maintains the group's membership and replaces primaries while this instance is the leader.
func (k *Controller) reconcile(ctx context.Context) error {
	for k.Clock.Sleep(ctx, reconcileInterval) == nil {
		if !k.Leading() {
			k.memberLogs.ForgetPauses()

			continue
		}

		k.registry.RemoveSilent()

		for _, s := range k.services() {
			k.reconcileService(ctx, s)
		}

		k.probeSilent(ctx)

		k.reconcileVoters(ctx)
	}

	return nil
}

// reconcileService starts a replacement of a service's primary if one may be needed and none is in progress.
func (k *Controller) reconcileService(ctx context.Context, service string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if k.replacing[service] || !k.mayNeedReplacement(service) {
		return
	}

	k.replacing[service] = true

	go func() {
		k.replace(ctx, service)

		k.mutex.Lock()
		defer k.mutex.Unlock()

		k.replacing[service] = false
	}()
}

// mayNeedReplacement reports whether the primary has to be replaced or probed. It is called with the mutex held.
func (k *Controller) mayNeedReplacement(service string) bool {
	// A leader that has not received the announcements of all members could overlook a replica with an acknowledged
	// commit.
	if k.Clock.Now()-k.participation().group.Leadership().Since < leaderListenTime {
		return false
	}

	e := k.observations(service)

	return e.ReplacementReason() != labfailover.ReasonNone || e.NeedsProbe()
}

func (k *Controller) observations(service string) labfailover.Observations {
	p, known := k.primary(service)
	e := labfailover.Observations{PrimaryKnown: known, PrimaryLeaving: known && p.Announcement.Draining}

	if known {
		delete(k.missingSince, service)

		e.FailingProxies, e.ReachingProxies = k.proxies.countReports(service, p.Announcement.Member)
		e.ReportedUnreachable = k.proxies.reportedUnreachable(service, p.Announcement.Member)
	} else {
		if _, ok := k.missingSince[service]; !ok {
			k.missingSince[service] = k.Clock.Now()
		}

		e.PrimaryMissingFor = k.Clock.Now() - k.missingSince[service]
	}

	for _, r := range k.replicas(service, p) {
		if !r.Member.Draining {
			e.Successors++
		}
	}

	if o, ok := k.participation().state.Promotion(service); ok && !o.Confirmed {
		e.OrderUnconfirmed = true
	}

	return e
}

// replicas returns the members other than the primary. They could become the primary, or have commits that the primary
// acknowledged. The member of an unconfirmed order is among them even if it is the primary by now.
func (k *Controller) replicas(service string, primary labmembers.Entry) []labfailover.ReplicaState {
	var out []labfailover.ReplicaState

	o, ordered := k.participation().state.Promotion(service)

	for _, e := range k.registry.Entries() {
		a := e.Announcement
		confirmed := !ordered || o.Confirmed || o.Member != a.Member

		if a.Database != service || a.Terminated || (confirmed && a.Member == primary.Announcement.Member) {
			continue
		}

		out = append(out, labfailover.ReplicaState{Member: a})
	}

	return out
}

// replace replaces the primary if there is a reason for it. Without a reason, it probes the primary first.
func (k *Controller) replace(ctx context.Context, service string) {
	k.mutex.Lock()
	e := k.observations(service)
	k.mutex.Unlock()

	p, _ := k.primary(service)

	if e.ReplacementReason() == labfailover.ReasonNone {
		failing := k.probe(ctx, p.Announcement)

		// Reads the observations again, because proxies may have reported during the probe.
		k.mutex.Lock()
		e = k.observations(service)
		k.mutex.Unlock()

		e.ProbesFailedFor = failing
	}

	v := e.ReplacementReason()
	if v == labfailover.ReasonNone {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, replacementTimeout)
	defer cancel()

	k.Log.Info().Str("service", service).Str("reason", string(v)).Str("former", p.Announcement.Member).
		Dur("led", k.Clock.Now()-k.participation().group.Leadership().Since).Int("members", len(k.registry.Entries())).
		Int("failing", e.FailingProxies).Int("reaching", e.ReachingProxies).Dur("probes_fail", e.ProbesFailedFor).
		Dur("silent", k.silentFor(p)).Msg("replacement_started")

	s := &labfailover.Replacement{
		Service: service, PreferredRegion: p.Announcement.Region, FormerPrimary: p.Announcement,
		PrimaryServing: v == labfailover.ReasonLeaving, Replicas: k.replicas(service, p),
		PrimaryAnnounced: v == labfailover.ReasonOrderUnconfirmed && p.Announcement.Primary && !p.Announcement.Draining &&
			k.silentFor(p) < announcedMaxAge,
		Dialer: k.Dialer, PromotionClient: k.PromotionClient, Orders: orderLog{k}, Logs: &k.memberLogs, Clock: k.Clock, Log: k.Log,
		CurrentReplicas: func() []labfailover.ReplicaState { return k.replicas(service, p) }, Leading: k.Leading,
		OrderPending: k.orderPending(service, e.OrderUnconfirmed),
	}
	defer func() { k.recordReplacement(service, s.OrderPending) }()

	if o, ok := k.participation().state.Promotion(service); ok {
		k.memberLogs.RecordOrder(service, o.Member, o.Received)

		if s.OrderPending {
			s.Ordered = o.Member
		}
	}

	started := k.Clock.Now()

	m, err := s.Run(ctx)
	if err != nil {
		k.Counters.Failures.Add(1)
		k.Log.Warn().Err(err).Str("service", service).Dur("after", k.Clock.Now()-started).Msg("replacement_failed")

		_ = k.Clock.Sleep(ctx, replacementRetryDelay)

		return
	}

	k.Counters.Promotions.Add(1)
	k.Log.Info().Str("service", service).Str("primary", m.Member).Dur("after", k.Clock.Now()-started).Msg("replacement_done")
}

// probeSilent probes the members that have stopped announcing themselves. That a member doesn't run while the primary
// still serves shows which commits it can't have.
func (k *Controller) probeSilent(ctx context.Context) {
	if k.Clock.Now() < k.nextSilentProbe {
		return
	}

	k.nextSilentProbe = k.Clock.Now() + silentProbeInterval

	for _, e := range k.registry.Entries() {
		if !e.Announcement.Terminated && k.silentFor(e) > announcedMaxAge {
			go k.probeOnce(ctx, e.Announcement)
		}
	}
}

// replacementResult says how the last replacement of a service's primary by this leader ended.
type replacementResult struct {
	leaderEpoch  uint64
	orderPending bool // the platform may still execute an order
}

// orderPending reports whether the platform may still execute an earlier order for a service. A new leader assumes so
// while an order is unconfirmed.
func (k *Controller) orderPending(service string, unconfirmed bool) bool {
	epoch := k.leaderEpoch()

	k.mutex.Lock()
	defer k.mutex.Unlock()

	r, ok := k.lastReplacements[service]

	return unconfirmed && (r.orderPending || !ok || r.leaderEpoch != epoch)
}

func (k *Controller) recordReplacement(service string, orderPending bool) {
	epoch := k.leaderEpoch()

	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.lastReplacements[service] = replacementResult{epoch, orderPending}
}

// probe returns how long new connections to a member have failed, or 0 when one succeeds. It stops once they have
// failed for ProbeFailureThreshold.
func (k *Controller) probe(ctx context.Context, m lab.Announcement) time.Duration {
	for start := k.Clock.Now(); ; {
		if k.probeOnce(ctx, m) {
			return 0
		}

		if d := k.Clock.Now() - start; d >= labfailover.ProbeFailureThreshold {
			return d
		}

		if k.Clock.Sleep(ctx, probeRetryDelay) != nil {
			return 0
		}
	}
}

func (k *Controller) probeOnce(ctx context.Context, m lab.Announcement) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	l, err := k.Dialer.Dial(ctx, m)
	if err != nil {
		o, _ := lab.OutcomeOf(err)
		k.Log.Info().Err(err).Str("member", m.Member).Msg("probe_failed")

		if errors.Is(err, lab.ErrMemberDown) {
			k.recordDown(m)
		}

		// A member that rejects the connection is alive.
		return o == lab.OutcomeNotRun
	}

	l.Close()
	k.memberLogs.RecordRunning(m)

	return true
}

// orderLog records promotion orders in the replicated log of the control group.
type orderLog struct {
	controller *Controller
}

func (o orderLog) Order(
	ctx context.Context, service, member, former string, received lab.CommitPosition,
) (uint64, error) {
	v, err := o.controller.propose(ctx, labgroupstate.Command{
		Order: &labgroupstate.Order{Service: service, Member: member, FormerPrimary: former, Received: received},
	})
	if err != nil {
		return 0, err
	}

	t, ok := v.(uint64)
	if !ok {
		return 0, errors.Newf("promotion order was not recorded: unexpected result %v", v)
	}

	return t, nil
}

func (o orderLog) Confirm(ctx context.Context, service string, token uint64) error {
	_, err := o.controller.propose(ctx, labgroupstate.Command{
		OrderConfirmed: &labgroupstate.OrderConfirmed{Service: service, Token: token},
	})

	return err
}
