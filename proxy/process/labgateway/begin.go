package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

const (
	// A read waits this share of its deadline for a replica, at most maxReplicaWait, before the primary serves it.
	replicaWaitShare = 5
	maxReplicaWait   = 50 * time.Millisecond

	// retryPause is the longest time between two attempts of a write to find a primary.
	retryPause = 100 * time.Millisecond
)

// Begin admits a transaction and binds it to an upstream connection.
func (g *Gateway) Begin(ctx context.Context, header lab.TransactionHeader) (lab.Transaction, error) {
	d, err := g.find(header)
	if err != nil {
		return nil, err
	}

	g.Observer.Used(header.Database)

	t := &transaction{duty: d, header: header, started: g.Clock.Now(), limit: header.TimeLeft, first: true}
	if t.limit <= 0 {
		t.limit = defaultDeadline
	}

	ctx, cancel := context.WithTimeout(ctx, t.limit)
	defer cancel()

	if repeated, err := t.reserve(ctx); repeated != nil || err != nil {
		return repeated, err
	}

	if err = t.begin(ctx, ""); err != nil {
		t.finish(lab.IdempotencyNotRun)

		return nil, err
	}

	return t, nil
}

// begin binds the transaction to a member other than the excluded one. Writes wait for a primary that answers, reads try
// one other member.
func (t *transaction) begin(ctx context.Context, excluded string) error {
	for {
		changed := t.duty.wait()

		err := t.bind(ctx, excluded)
		if err == nil {
			return nil
		}

		failed := t.memberName()
		t.leave()

		if !unreachable(err) {
			return err
		}

		if t.header.ReadOnly {
			if excluded != "" || failed == "" {
				return err
			}

			excluded = failed

			continue
		}

		if region, elsewhere := t.primaryElsewhere(); elsewhere {
			return lab.NotRunError(lab.ReasonMisrouted, errors.Newf("primary is in region %s", region))
		}

		if !pause(ctx, changed) {
			return lab.NotRunError(lab.ReasonNoPrimary, err)
		}
	}
}

func (t *transaction) bind(ctx context.Context, excluded string) error {
	if err := t.duty.register(t); err != nil {
		return notRun(err)
	}

	member, err := t.place(ctx, excluded)
	if err != nil {
		return notRun(err)
	}

	if err = t.acquire(ctx, member); err != nil {
		return err
	}

	if err = t.connect(ctx, false); !errors.Is(err, errExhausted) {
		return err
	}

	// Open transactions hold all connections and may need a slot to end, so the slot is not held while waiting.
	t.free()

	if err = t.connect(ctx, true); err != nil {
		return err
	}

	return t.acquire(ctx, member)
}

// unreachable reports whether an error is one of the member, which another member or a promotion can mend.
func unreachable(err error) bool {
	switch _, reason := lab.OutcomeOf(err); reason {
	case lab.ReasonNoPrimary, lab.ReasonSuperseded, lab.ReasonConnectionLost:
		return true
	}

	return false
}

// pause waits for a change, at most retryPause, and reports whether there is time left.
func pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()

	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}

	return ctx.Err() == nil
}

// primaryElsewhere returns the region of a primary that is not in the duty's region.
func (t *transaction) primaryElsewhere() (string, bool) {
	database, found := t.duty.gateway.Routes.Database(t.header.Database)
	if !found {
		return "", false
	}

	primary, found := database.Member(database.Primary)

	return primary.Region, found && primary.Region != t.duty.key.Region
}

// place chooses the member.
func (t *transaction) place(ctx context.Context, excluded string) (string, error) {
	if t.header.ReadOnly {
		return t.placeRead(ctx, excluded)
	}

	database, found := t.duty.gateway.Routes.Database(t.header.Database)
	if !found || database.Primary == "" || database.CurrentTerm() != t.grant.Term {
		return "", errNoPrimary
	}

	p, found := t.duty.pool(database.Primary)
	if !found {
		return "", errNoPrimary
	}

	// A lost primary is left to the observer: connecting to it would hold a slot until the attempt times out.
	if _, leaving := p.left(); leaving || t.duty.lost(p) {
		return "", errNoPrimary
	}

	return database.Primary, nil
}

// placeRead prefers a replica, waits briefly for one, and then takes the primary.
func (t *transaction) placeRead(ctx context.Context, excluded string) (string, error) {
	g := t.duty.gateway

	database, found := g.Routes.Database(t.header.Database)
	if !found {
		return "", errMoved
	}

	var best candidate

	search := func(views []labobserver.View) bool {
		best, found = choose(database, views, g.Self.AvailabilityZone, t.header, excluded, t.load)

		return found
	}

	if search(g.Observer.Views(t.header.Database, make([]labobserver.View, 0, 4))) {
		return best.view.Member.Member, nil
	}

	if excluded == "" && t.replicas(database) {
		wait, cancel := context.WithTimeout(ctx, min(t.limit/replicaWaitShare, maxReplicaWait))
		defer cancel()

		if err := g.Observer.Wait(wait, t.header.Database, search); err == nil {
			return best.view.Member.Member, nil
		}
	}

	return t.placePrimaryRead(database)
}

func (t *transaction) placePrimaryRead(database *lab.Database) (string, error) {
	if region, elsewhere := t.primaryElsewhere(); elsewhere {
		return "", lab.NotRunError(lab.ReasonMisrouted, errors.Newf("no replica here; primary is in region %s", region))
	}

	if t.header.MinPosition.Term > database.CurrentTerm() {
		return "", lab.NotRunError(lab.ReasonStale, errors.New("the floor's term is not known here yet"))
	}

	p, found := t.duty.pool(database.Primary)
	if !found || database.Primary == "" {
		return "", lab.NotRunError(lab.ReasonStale, errNoPrimary)
	}

	if _, leaving := p.left(); leaving {
		return "", lab.NotRunError(lab.ReasonDraining, errLeaving)
	}

	return database.Primary, nil
}

// replicas reports whether the region has a replica that a read could wait for.
func (t *transaction) replicas(database *lab.Database) bool {
	for _, m := range database.Members {
		if m.Region == t.duty.key.Region && m.Member != database.Primary && !m.Draining {
			return true
		}
	}

	return false
}

// memberName returns the name of the member that the transaction is bound to, if any.
func (t *transaction) memberName() string {
	if p := t.pool.Load(); p != nil {
		return p.member.Member
	}

	return ""
}

func (t *transaction) load(member string) (float64, bool) {
	p, found := t.duty.pool(member)
	if !found {
		return 0, false
	}

	return p.load(), true
}

// acquire takes a slot of the member.
func (t *transaction) acquire(ctx context.Context, member string) error {
	g := t.duty.gateway

	p, found := t.duty.pool(member)
	if !found {
		return notRun(errMoved)
	}

	request := lab.AdmissionRequest{
		Organisation: t.header.Organisation, Class: t.header.AdmissionClass, Weight: 1, Deadline: g.Clock.Now() + t.limit,
	}

	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = g.Clock.Now() + time.Until(deadline)
	}

	if o, found := g.Routes.Organisation(t.header.Organisation); found {
		request.Weight = max(o.Parameters.Weight, 1)
		request.QueueLimit = o.Parameters.QueueLimit
	}

	if t.pool.Load() != p {
		t.pool.Store(p)
		p.enter(1)
	}

	release, err := g.Admission.Acquire(ctx, t.duty.slotKey(member), request)
	if err != nil {
		return notRun(err)
	}

	t.release = release

	return nil
}

// connect takes a connection from the member's pool.
func (t *transaction) connect(ctx context.Context, mayWait bool) error {
	conn, err := t.pool.Load().get(ctx, mayWait)
	if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return lab.NotRunError(lab.ReasonConnectionLost, errors.Newf("connect to member: %w", err))
	}

	if err != nil {
		return notRun(errors.Newf("connect to member: %w", err))
	}

	conn.Silent = t.silent

	t.mu.Lock()
	t.conn = conn
	forced := t.forced
	t.mu.Unlock()

	if forced != nil {
		return notRun(forced)
	}

	return nil
}
