package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

const (
	// replicaWaitDivisor sets how long a read waits for an eligible replica before it runs on the primary: the read's
	// timeout divided by replicaWaitDivisor, but at most maxReplicaWait.
	replicaWaitDivisor = 5
	maxReplicaWait     = 50 * time.Millisecond

	// maxRetryDelay is the longest pause between two attempts of a write to find a primary.
	maxRetryDelay = 100 * time.Millisecond
)

// Begin admits a transaction and binds it to an upstream connection.
func (g *Gateway) Begin(ctx context.Context, header lab.TransactionHeader) (lab.Transaction, error) {
	role, err := g.findRole(header)
	if err != nil {
		return nil, err
	}

	g.Observer.MarkUsed(header.Database)

	t := &transaction{role: role, header: header, started: g.Clock.Now(), timeout: header.TimeLeft, firstBatch: true}
	if t.timeout <= 0 {
		t.timeout = defaultDeadline
	}

	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()

	if dup, err := t.reserveKey(ctx); dup != nil || err != nil {
		return dup, err
	}

	if err = t.bind(ctx, ""); err != nil {
		t.finish(lab.IdempotencyNotRun)

		return nil, err
	}

	return t, nil
}

// bind binds the transaction to a member. A read does not run on the excluded member; an empty name excludes none. If
// the excluded member is the primary, it is still used when no replica is eligible. A write waits until a primary is
// reachable. A read whose member fails is bound once more with that member excluded, unless one is already excluded.
func (t *transaction) bind(ctx context.Context, excluded string) error {
	for {
		changed := t.role.changeSignal()

		err := t.tryBind(ctx, excluded)
		if err == nil {
			return nil
		}

		failedMember := t.memberName()
		t.releaseAll()

		if !retryable(err) {
			return err
		}

		if t.header.ReadOnly {
			if excluded != "" || failedMember == "" {
				return err
			}

			excluded = failedMember

			continue
		}

		if region, elsewhere := t.remotePrimaryRegion(); elsewhere {
			return lab.NotRunError(lab.ReasonMisrouted, errors.Newf("primary is in region %s", region))
		}

		if !waitForChange(ctx, changed) {
			return lab.NotRunError(lab.ReasonNoPrimary, err)
		}
	}
}

// tryBind makes one attempt to choose a member, acquire a slot of it and take a connection to it.
func (t *transaction) tryBind(ctx context.Context, excluded string) error {
	if err := t.role.register(t); err != nil {
		return asNotRun(err)
	}

	member, err := t.chooseMember(ctx, excluded)
	if err != nil {
		return asNotRun(err)
	}

	if err = t.acquireSlot(ctx, member); err != nil {
		return err
	}

	if err = t.takeConnection(ctx, false); !errors.Is(err, errPoolExhausted) {
		return err
	}

	// All connections are in use by open transactions, which may need a slot to end. The slot is therefore released
	// before waiting for a connection.
	t.freeSlot()

	if err = t.takeConnection(ctx, true); err != nil {
		return err
	}

	return t.acquireSlot(ctx, member)
}

// retryable reports whether an error is specific to the member, so that another member or a promotion may resolve it.
func retryable(err error) bool {
	switch _, reason := lab.OutcomeOf(err); reason {
	case lab.ReasonNoPrimary, lab.ReasonSuperseded, lab.ReasonConnectionLost:
		return true
	}

	return false
}

// waitForChange waits for a change of the role, at most maxRetryDelay, and reports whether the context has not ended.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(maxRetryDelay)
	defer timer.Stop()

	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}

	return ctx.Err() == nil
}

// remotePrimaryRegion returns the primary's region if it differs from the region of the gateway role.
func (t *transaction) remotePrimaryRegion() (string, bool) {
	database, found := t.role.gateway.Catalog.Database(t.header.Database)
	if !found {
		return "", false
	}

	primary, found := database.Member(database.Primary)

	return primary.Region, found && primary.Region != t.role.key.Region
}

// chooseMember returns the name of the member on which the transaction is to run.
func (t *transaction) chooseMember(ctx context.Context, excluded string) (string, error) {
	if t.header.ReadOnly {
		return t.chooseReadMember(ctx, excluded)
	}

	database, found := t.role.gateway.Catalog.Database(t.header.Database)
	if !found || database.Primary == "" || database.CurrentTerm() != t.grant.Term {
		return "", errNoPrimary
	}

	p, found := t.role.pool(database.Primary)
	if !found {
		return "", errNoPrimary
	}

	// Connecting to an unreachable primary would hold a slot until the attempt times out. The observer detects when
	// the primary is reachable again.
	if _, draining := p.drainingFor(); draining || t.role.memberUnreachable(p) {
		return "", errNoPrimary
	}

	return database.Primary, nil
}

// chooseReadMember returns an eligible replica. If there is none, it waits briefly for one and then chooses the
// primary.
func (t *transaction) chooseReadMember(ctx context.Context, excluded string) (string, error) {
	g := t.role.gateway

	database, found := g.Catalog.Database(t.header.Database)
	if !found {
		return "", errMisrouted
	}

	var best readCandidate

	search := func(views []labobserver.View) bool {
		best, found = selectReplica(database, views, g.Self.AvailabilityZone, t.header, excluded, t.memberLoad)

		return found
	}

	if search(g.Observer.Views(t.header.Database, make([]labobserver.View, 0, 4))) {
		return best.view.Member.Member, nil
	}

	if excluded == "" && t.hasReplicas(database) {
		wait, cancel := context.WithTimeout(ctx, min(t.timeout/replicaWaitDivisor, maxReplicaWait))
		defer cancel()

		if err := g.Observer.Wait(wait, t.header.Database, search); err == nil {
			return best.view.Member.Member, nil
		}
	}

	return t.choosePrimaryForRead(database)
}

func (t *transaction) choosePrimaryForRead(database *lab.Database) (string, error) {
	if region, elsewhere := t.remotePrimaryRegion(); elsewhere {
		return "", lab.NotRunError(lab.ReasonMisrouted,
			errors.Newf("no replica can serve the read; primary is in region %s", region))
	}

	if t.header.MinPosition.Term > database.CurrentTerm() {
		return "", lab.NotRunError(lab.ReasonStale, errors.New("the minimum position's primary term is not known here yet"))
	}

	p, found := t.role.pool(database.Primary)
	if !found || database.Primary == "" {
		return "", lab.NotRunError(lab.ReasonStale, errNoPrimary)
	}

	if _, draining := p.drainingFor(); draining {
		return "", lab.NotRunError(lab.ReasonDraining, errMemberDraining)
	}

	return database.Primary, nil
}

// hasReplicas reports whether the gateway role's region has a replica that a read could wait for.
func (t *transaction) hasReplicas(database *lab.Database) bool {
	for _, m := range database.Members {
		if m.Region == t.role.key.Region && m.Member != database.Primary && !m.Draining {
			return true
		}
	}

	return false
}

// memberName returns the name of the member that the transaction is bound to, or an empty name.
func (t *transaction) memberName() string {
	if p := t.pool.Load(); p != nil {
		return p.member.Member
	}

	return ""
}

func (t *transaction) memberLoad(member string) (float64, bool) {
	p, found := t.role.pool(member)
	if !found {
		return 0, false
	}

	return p.load(), true
}

// acquireSlot counts the transaction in the member's pool and waits for an admission slot of the member.
func (t *transaction) acquireSlot(ctx context.Context, member string) error {
	g := t.role.gateway

	p, found := t.role.pool(member)
	if !found {
		return asNotRun(errMisrouted)
	}

	request := lab.AdmissionRequest{
		Organisation: t.header.Organisation, Class: t.header.AdmissionClass, Weight: 1, Deadline: g.Clock.Now() + t.timeout,
	}

	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = g.Clock.Now() + time.Until(deadline)
	}

	if o, found := g.Catalog.Organisation(t.header.Organisation); found {
		request.Weight = max(o.Parameters.Weight, 1)
		request.QueueLimit = o.Parameters.QueueLimit
	}

	if t.pool.Load() != p {
		t.pool.Store(p)
		p.addTransactions(1)
	}

	release, err := g.Admission.Acquire(ctx, t.role.admissionKey(member), request)
	if err != nil {
		return asNotRun(err)
	}

	t.releaseSlot = release

	return nil
}

// takeConnection takes a connection from the member's pool.
func (t *transaction) takeConnection(ctx context.Context, mayWait bool) error {
	conn, err := t.pool.Load().get(ctx, mayWait)
	if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return lab.NotRunError(lab.ReasonConnectionLost, errors.Newf("connect to member: %w", err))
	}

	if err != nil {
		return asNotRun(errors.Newf("connect to member: %w", err))
	}

	conn.OnSilence = t.checkSilence

	t.mu.Lock()
	t.conn = conn
	cause := t.terminateCause
	t.mu.Unlock()

	if cause != nil {
		return asNotRun(cause)
	}

	return nil
}
