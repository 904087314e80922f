package labkeeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labroster"
	"laburnumlock.dev/lab/control/process/labsuccession"
	"laburnumlock.dev/lab/control/version/labrecord"
)

const (
	tendInterval = 100 * time.Millisecond
	// successionTimeout bounds one attempt to replace a primary; an unfinished one is taken up again.
	successionTimeout = 8 * time.Second
	// membersSettleTime is how long a new leader listens before it replaces a primary: a member announces itself every
	// 1.2 s, and a second later elsewhere when the first try gets no answer.
	membersSettleTime = 2500 * time.Millisecond
	// retryPause is the time between two attempts that found no candidate.
	retryPause = 150 * time.Millisecond
	// probeTimeout bounds one probe of a primary by a new connection, well above the round trip of 24 ms between
	// regions and the 12 ms of a new connection.
	probeTimeout = 250 * time.Millisecond
	probePause   = 60 * time.Millisecond // between probes that failed at once
	// excuseMargin is by how much longer than its primary a replica must be silent so that it cannot hold a commit that
	// no other replica has.
	excuseMargin = 4 * time.Second
)

// tend looks after membership and primaries while this instance leads.
func (k *Keeper) tend(ctx context.Context) error {
	for k.Clock.Sleep(ctx, tendInterval) == nil {
		if !k.Leading() {
			continue
		}

		k.roster.Sweep()

		for _, s := range k.services() {
			k.tendService(ctx, s)
		}

		k.tendMembers(ctx)
	}

	return nil
}

// tendService starts a replacement when the service needs one and none is under way.
func (k *Keeper) tendService(ctx context.Context, service string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if k.replacing[service] || !k.due(service) {
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

// due reports whether a look at the primary could lead to a replacement; it is called with the mutex held.
func (k *Keeper) due(service string) bool {
	// A leader that has not heard every member could overlook a replica that holds an acknowledged commit.
	if k.Clock.Now()-k.part().group.Leadership().Since < membersSettleTime {
		return false
	}

	e := k.evidence(service)

	return e.Verdict() != labsuccession.ReasonNone || e.Suspicious()
}

func (k *Keeper) evidence(service string) labsuccession.Evidence {
	p, known := k.primary(service)
	e := labsuccession.Evidence{Known: known, Leaving: known && p.Announcement.Draining}

	if known {
		delete(k.missing, service)

		e.Failing, e.Reaching = k.watchers.votes(service, p.Announcement.Member)
	} else {
		if _, ok := k.missing[service]; !ok {
			k.missing[service] = k.Clock.Now()
		}

		e.Missing = k.Clock.Now() - k.missing[service]
	}

	for _, r := range k.replicas(service, p) {
		if !r.Member.Draining {
			e.Successors++
		}
	}

	if o, ok := k.part().record.Promotion(service); ok && !o.Done {
		e.Unfinished = true
	}

	return e
}

// replicas returns the members that could take over from a primary, or hold what it acknowledged.
func (k *Keeper) replicas(service string, primary labroster.Entry) []labsuccession.Standing {
	var out []labsuccession.Standing

	for _, e := range k.roster.Entries() {
		a := e.Announcement
		if a.Database != service || a.Terminated || a.Member == primary.Announcement.Member {
			continue
		}

		out = append(out, labsuccession.Standing{
			Member: a, Excused: k.silent(e) > k.silent(primary)+excuseMargin && primary.Announcement.Member != "",
		})
	}

	return out
}

// replace probes a suspicious primary and replaces it when the verdict says so.
func (k *Keeper) replace(ctx context.Context, service string) {
	k.mutex.Lock()
	e := k.evidence(service)
	k.mutex.Unlock()

	p, _ := k.primary(service)

	if e.Verdict() == labsuccession.ReasonNone {
		failing := k.probe(ctx, p.Announcement)

		// Proxies may have reported meanwhile.
		k.mutex.Lock()
		e = k.evidence(service)
		k.mutex.Unlock()

		e.ProbesFail = failing
	}

	v := e.Verdict()
	if v == labsuccession.ReasonNone {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, successionTimeout)
	defer cancel()

	k.Log.Info().Str("service", service).Str("reason", string(v)).Str("former", p.Announcement.Member).
		Int("failing", e.Failing).Int("reaching", e.Reaching).Dur("probes_fail", e.ProbesFail).
		Dur("silent", k.silent(p)).Msg("replacement_started")

	s := &labsuccession.Succession{
		Service: service, Region: p.Announcement.Region, Former: p.Announcement, Serves: v == labsuccession.ReasonLeaving,
		Replicas: k.replicas(service, p), Dialer: k.Dialer, Caller: k.Caller, Orders: orders{k}, Log: k.Log,
		Known: func() []labsuccession.Standing { return k.replicas(service, p) },
	}

	started := k.Clock.Now()

	m, err := s.Run(ctx)
	if err != nil {
		k.Counters.Failures.Add(1)
		k.Log.Warn().Err(err).Str("service", service).Dur("after", k.Clock.Now()-started).Msg("replacement_failed")

		_ = k.Clock.Sleep(ctx, retryPause)

		return
	}

	k.Counters.Promotions.Add(1)
	k.Log.Info().Str("service", service).Str("primary", m.Member).Dur("after", k.Clock.Now()-started).Msg("replacement_done")
}

// probe returns for how long new connections to a member fail, up to LostAfter and a probe more; 0 when one succeeds.
func (k *Keeper) probe(ctx context.Context, m lab.Announcement) time.Duration {
	for start := k.Clock.Now(); ; {
		if k.probeOnce(ctx, m) {
			return 0
		}

		if d := k.Clock.Now() - start; d >= labsuccession.LostAfter {
			return d
		}

		if k.Clock.Sleep(ctx, probePause) != nil {
			return 0
		}
	}
}

func (k *Keeper) probeOnce(ctx context.Context, m lab.Announcement) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	l, err := k.Dialer.Dial(ctx, m)
	if err != nil {
		o, _ := lab.OutcomeOf(err)
		k.Log.Info().Err(err).Str("member", m.Member).Msg("probe_failed")

		// A member that refuses the connection is alive.
		return o == lab.OutcomeNotRun
	}

	l.Close()

	return true
}

// orders records orders in the log of the control group.
type orders struct {
	keeper *Keeper
}

func (o orders) Order(ctx context.Context, service, member, former string) (uint64, error) {
	v, err := o.keeper.propose(ctx, labrecord.Command{
		Order: &labrecord.Order{Service: service, Member: member, Former: former},
	})
	if err != nil {
		return 0, err
	}

	t, ok := v.(uint64)
	if !ok {
		return 0, errors.Newf("order was not recorded: %v", v)
	}

	return t, nil
}

func (o orders) Done(ctx context.Context, service string, token uint64) error {
	_, err := o.keeper.propose(ctx, labrecord.Command{Done: &labrecord.Done{Service: service, Token: token}})

	return err
}
