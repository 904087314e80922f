package labplatformcontrol

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labfailover"
	"laburnumlock.dev/lab/control/process/labmembers"
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
	// recoveryInterval is the interval between two tries to end an unfinished attempt.
	recoveryInterval = time.Second
	removalInterval  = time.Second // interval at which silent members are removed
	// deposedAfter is how long a primary may say that it is a replica. A member announces a change of its role at once, and
	// otherwise announces itself every 1.2 s.
	deposedAfter = 5 * time.Second
)

// reconcile maintains the list of members and replaces primaries while this instance is the leader.
func (k *Controller) reconcile(ctx context.Context) error {
	for k.Clock.Sleep(ctx, reconcileInterval) == nil {
		if !k.Leading() {
			continue
		}

		k.removeSilent()
		k.reconcilePermissions(ctx)
		k.recordHolders(ctx)
		k.publishMembers()

		for _, s := range k.heldServices() {
			k.reconcileService(ctx, s)
		}

		k.retireHolders(ctx)
	}

	return nil
}

// removeSilent removes silent members once a second.
func (k *Controller) removeSilent() {
	if now := k.Clock.Now(); now >= k.nextRemoval {
		k.nextRemoval = now + removalInterval
		k.registry.RemoveSilent()
	}
}

// reconcileService starts a replacement of a service's primary if one may be needed and none is in progress. Without a need, it
// ends a withdrawal that the last replacement could not end.
func (k *Controller) reconcileService(ctx context.Context, service string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if k.replacing[service] {
		return
	}

	run := k.replace

	if !k.mayNeedReplacement(service) {
		if !k.withdrawn(service) {
			return
		}

		run = k.endWithdrawal
	}

	k.replacing[service] = true

	go func() {
		run(ctx, service)

		k.mutex.Lock()
		defer k.mutex.Unlock()

		k.replacing[service] = false
	}()
}

// mayNeedReplacement reports whether the primary has to be replaced or probed. It is called with the mutex held.
func (k *Controller) mayNeedReplacement(service string) bool {
	v := k.viewService(k.serviceMembers[:0], service)
	k.serviceMembers = v.members
	e := k.observations(v)

	// A new leader waits for the announcements of members that have become known only recently. While an order may take
	// effect, it must watch at once that the replicas stay paused.
	if k.Clock.Now()-k.participation().group.Leadership().Since < leaderListenTime && !e.OrderUnconfirmed {
		return false
	}

	return e.ReplacementReason() != labfailover.ReasonNone || e.NeedsProbe() || k.recoveryDue(v)
}

// observations returns what speaks for a replacement of the primary. It is called with the mutex held.
func (k *Controller) observations(v serviceView) labfailover.Observations {
	service, p := v.name, v.primary
	e := labfailover.Observations{PrimaryKnown: p != nil, PrimaryLeaving: p != nil && p.Announcement.Draining}

	if p != nil {
		delete(k.missingSince, service)

		r := k.proxies.count(service, p.Announcement.Member)
		e.FailingProxies, e.ReachingProxies, e.ReportedUnreachable = r.failing, r.reaching, r.unreachable
	} else {
		if _, ok := k.missingSince[service]; !ok {
			k.missingSince[service] = k.Clock.Now()
		}

		e.PrimaryMissingFor = k.Clock.Now() - k.missingSince[service]
	}

	e.Successors = k.successors(v)
	e.OrderUnconfirmed = v.state.Ordered && !v.state.Promotion.Confirmed

	return e
}

// replace replaces the primary if there is a reason for it. Without a reason, it probes the primary first.
func (k *Controller) replace(ctx context.Context, service string) {
	again := false

	defer func() {
		if !again {
			k.endWithdrawal(ctx, service)
		}
	}()

	k.mutex.Lock()
	view := k.viewService(nil, service)
	e, due := k.observations(view), k.recoveryDue(view)
	k.mutex.Unlock()

	p, _ := k.primary(service)

	if e.ReplacementReason() == labfailover.ReasonNone && e.NeedsProbe() {
		failing := k.probe(ctx, p.Announcement)

		// Reads the observations again, because proxies may have reported during the probe.
		k.mutex.Lock()
		e = k.observations(k.viewService(nil, service))
		k.mutex.Unlock()

		e.ProbesFailedFor = failing
	}

	v := e.ReplacementReason()
	if v == labfailover.ReasonNone && !due {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, replacementTimeout)
	defer cancel()

	s := k.newReplacement(service, v, p)
	defer func() { k.recordReplacement(service, s.OrderPending) }()

	if v == labfailover.ReasonNone {
		k.recover(ctx, s)

		return
	}

	k.Log.Info().Str("service", service).Str("reason", string(v)).Str("former", p.Announcement.Member).
		Dur("led", k.Clock.Now()-k.participation().group.Leadership().Since).Int("members", len(k.registry.Entries())).
		Int("failing", e.FailingProxies).Int("reaching", e.ReachingProxies).Dur("probes_fail", e.ProbesFailedFor).
		Dur("silent", k.silentFor(p)).Msg("replacement_started")

	started := k.Clock.Now()

	m, err := s.Run(ctx)
	k.recordWait(service, err)

	// While a lost primary has no candidate, the next attempt follows at once. Commits stay withdrawn until there is no
	// reason for one, so that the proxies don't get two lists for each attempt.
	again = errors.Is(err, labfailover.ErrNoCandidate) && v != labfailover.ReasonLeaving

	if err != nil {
		k.Counters.Failures.Add(1)
		k.Log.Warn().Err(err).Str("service", service).Dur("after", k.Clock.Now()-started).Msg("replacement_failed")

		_ = k.Clock.Sleep(ctx, replacementRetryDelay)

		return
	}

	if s.GivenUp {
		k.dropMissing(ctx, s)
	}

	k.Counters.Promotions.Add(1)
	k.Log.Info().Str("service", service).Str("primary", m.Member).Dur("after", k.Clock.Now()-started).Msg("replacement_done")
}

// newReplacement returns a replacement of a service's primary p for a reason.
func (k *Controller) newReplacement(service string, v labfailover.Reason, p labmembers.Entry) *labfailover.Replacement {
	o, ordered := k.participation().state.Promotion(service)
	unconfirmed := ordered && !o.Confirmed

	former, address := formerPrimary(k.viewService(nil, service))
	term := k.participation().group.Leadership().Term

	s := &labfailover.Replacement{
		Service: service, PreferredRegion: former.Region, FormerPrimary: former,
		PrimaryServing: v == labfailover.ReasonLeaving, PrimaryCertain: !unconfirmed || o.Address == address, Replicas: k.replicas(service),
		PrimaryAnnounced: v == labfailover.ReasonOrderUnconfirmed && p.Announcement.Primary && !p.Announcement.Draining &&
			k.silentFor(p) < announcedMaxAge,
		Dialer: k.Dialer, PromotionClient: k.PromotionClient, Orders: &orderLog{k, o.Token, term}, Permissions: commitPermissions{k}, Logs: &k.memberLogs, Clock: k.Clock, Log: k.Log,
		CurrentReplicas: func() []labfailover.ReplicaState { return k.replicas(service) },
		Leading:         func() bool { return k.Leading() && k.participation().group.Leadership().Term == term },
		Succeeded:       k.endSucceeded,
		OrderPending:    k.orderPending(service, unconfirmed), GivenUp: k.givenUp(service),
	}

	// Either of the two may lead.
	if unconfirmed && former.Member != "" && former.Member != o.Member {
		s.Replicas = append(s.Replicas, labfailover.ReplicaState{Member: former, Former: true})
	}

	if ordered {
		k.memberLogs.RecordOrder(service, o.Member, o.Bound)

		if s.OrderPending {
			s.Ordered = o.Member
		}
	}

	return s
}

// recover ends an attempt that this or another leader has left unfinished.
func (k *Controller) recover(ctx context.Context, s *labfailover.Replacement) {
	err := s.Recover(ctx)
	k.Log.Info().Err(err).Str("service", s.Service).Msg("attempt_recovered")

	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.recoveredAt[s.Service] = k.Clock.Now()
}

// recoveryDue reports whether an unfinished attempt has to be ended, or the known primary says that it is a replica though
// no order is open. It is called with the mutex held.
func (k *Controller) recoveryDue(v serviceView) bool {
	if at, ok := k.recoveredAt[v.name]; ok && k.Clock.Now()-at < recoveryInterval {
		return false
	}

	p := v.primary
	deposed := p != nil && !p.Announcement.Primary && k.Clock.Now()-p.RoleSince > deposedAfter

	return p != nil && (deposed || v.state.AttemptOpen)
}

// recordWait records since when a service has been without a candidate.
func (k *Controller) recordWait(service string, err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if !errors.Is(err, labfailover.ErrNoCandidate) {
		delete(k.waitingSince, service)
	} else if _, ok := k.waitingSince[service]; !ok {
		k.waitingSince[service] = k.Clock.Now()
	}
}

// givenUp reports whether a service has been without a candidate for so long that its missing members are given up.
func (k *Controller) givenUp(service string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	since, ok := k.waitingSince[service]

	return ok && k.Clock.Now()-since > labfailover.GiveUpAfter
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

	l, err := k.Dialer.Dial(ctx, m, "")
	if err != nil {
		o, _ := lab.OutcomeOf(err)
		k.Log.Info().Err(err).Str("member", m.Member).Msg("probe_failed")

		// A member that rejects the connection is alive, unless another one has its address.
		var other *lab.OtherMemberError

		return o == lab.OutcomeNotRun && !errors.As(err, &other)
	}

	l.Close()

	return true
}
