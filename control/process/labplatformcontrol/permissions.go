package labplatformcontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/process/labpermissionholders"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

const (
	// grantDuration is how long a grant of commit permissions is valid. It covers a change of the leader.
	grantDuration = 2500 * time.Millisecond
	// grantMargin covers clocks that drift apart by up to 10%. A receiver counts from the sending of its request, which can
	// wait for changes.
	grantMargin = (grantDuration + maxWatchWait) / 10
	// permissionsInterval is the minimum time between two lists if no permission is withdrawn or given back. At the start of
	// hundreds of members each announcement changes the list. It is longer if the list has many services: 100 ms at 1,000.
	permissionsInterval           = 20 * time.Millisecond
	permissionsIntervalPerService = 100 * time.Microsecond
	// withdrawalPoll is the interval at which a withdrawal checks the receivers.
	withdrawalPoll = 5 * time.Millisecond
	// withdrawalLogAfter is the time after which a withdrawal logs which receivers it waits for. It is longer than receivers
	// that respond take to confirm.
	withdrawalLogAfter = 400 * time.Millisecond
	// endWithdrawalTimeout bounds the log entry after which the permission of a service is decided by the replicated state.
	endWithdrawalTimeout = time.Second
	// maxLoggedNames bounds the names in one line of the log.
	maxLoggedNames = 16
	// formerLeader stands for all receivers of grants that another leader gave, or this instance before it was elected.
	formerLeader lab.InstanceID = "former leader"
)

// permissions is the leader's list of commit permissions. Everything in it belongs to one term.
type permissions struct {
	mutex     sync.Mutex
	term      uint64                 // term in which this instance has applied everything that former leaders committed
	revision  lab.PermissionRevision // zero before the first list of the term
	list      []lab.CommitPermission
	changes   permissionChanges
	announced lab.PermissionRevision // list for which watches were woken last; a watch may make a later one
	madeAt    time.Duration
	madeFrom  uint64          // value of Controller.changeCount from which the list was made
	withdrawn map[string]bool // services without permission until their replacement ends
	holders   labpermissionholders.Holders
}

// preparePermissions begins the lists of a term once this instance has applied what former leaders committed: an order of
// theirs may close a service.
func (k *Controller) preparePermissions(ctx context.Context) error {
	g := k.participation().group

	l := g.Leadership()
	if !l.IsLeader {
		return lab.ErrNotLeader
	}

	if k.permissions.preparedFor(l.Term) {
		return nil
	}

	if err := g.Barrier(ctx); err != nil {
		return errors.Newf("apply orders of former leaders: %w", err)
	}

	if now := g.Leadership(); !now.IsLeader || now.Term != l.Term {
		return lab.ErrNotLeader
	}

	k.permissions.begin(l)
	k.notifyWaiters()

	return nil
}

func (w *permissions) preparedFor(term uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.term >= term
}

func (w *permissions) begin(l lab.Leadership) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.term >= l.Term {
		return
	}

	w.term, w.revision, w.list, w.withdrawn = l.Term, lab.PermissionRevision{}, nil, map[string]bool{}
	w.holders.Margin = grantMargin

	// The former leader may have believed for electionMin after this one was elected that it still leads.
	w.holders.Granted(formerLeader, l.Since+electionMin+grantDuration)
}

// reconcilePermissions makes the list follow the members and the replicated state. It doesn't wait.
func (k *Controller) reconcilePermissions(ctx context.Context) {
	if !k.permissions.preparedFor(k.participation().group.Leadership().Term) {
		if k.preparingPermissions.CompareAndSwap(false, true) {
			go func() {
				defer k.preparingPermissions.Store(false)

				if err := k.preparePermissions(ctx); err != nil {
					k.Log.Info().Err(err).Msg("permissions_not_prepared")
				}
			}()
		}

		return
	}

	k.permissions.mutex.Lock()
	v := k.refreshPermissions(false)
	changed := v != k.permissions.announced
	k.permissions.announced = v
	k.permissions.mutex.Unlock()

	if changed {
		k.notifyWaiters()
	}
}

// refreshPermissions returns the revision of the newest list, which it makes first if something has changed. The revision is
// zero unless this instance leads and is prepared for the term. The mutex of permissions must be held.
func (k *Controller) refreshPermissions(force bool) lab.PermissionRevision {
	w := &k.permissions

	l, now := k.participation().group.Leadership(), k.Clock.Now()
	if !l.IsLeader || l.Term != w.term {
		return lab.PermissionRevision{}
	}

	n := k.changeCount.Load()
	if !force && !w.revision.IsZero() && (n == w.madeFrom || now-w.madeAt < w.interval()) {
		return w.revision
	}

	open, closed := k.openServices(w.withdrawn)
	first := w.revision.IsZero()
	w.madeAt, w.madeFrom = now, n

	if first || !slices.Equal(open, w.list) {
		w.revision = lab.PermissionRevision{Term: w.term, Number: w.revision.Number + 1}
		w.changes.add(differingPermissions(w.list, open), w.revision)
		w.list = open
		k.Log.Info().Uint64("term", w.term).Uint64("number", w.revision.Number).Int("open", len(open)).Int("closed", len(closed)).
			Strs("closed_services", closed[:min(len(closed), maxLoggedNames)]).Msg("permissions_listed")
	}

	return w.revision
}

// interval returns the minimum time between two lists.
func (w *permissions) interval() time.Duration {
	return max(permissionsInterval, time.Duration(len(w.list))*permissionsIntervalPerService)
}

// openServices returns the member of each service at which proxies may commit, and the services without one, both sorted
// by service.
func (k *Controller) openServices(withdrawn map[string]bool) (open []lab.CommitPermission, closed []string) {
	services, _ := k.registry.Services()

	var members []labmembers.Entry

	for _, s := range services {
		v := k.viewService(members[:0], s)
		members = v.members

		if v.primary != nil && (!v.state.Ordered || v.state.Promotion.Confirmed) && !withdrawn[s] {
			open = append(open, lab.CommitPermission{Service: s, Member: v.primary.Announcement.Member})
		} else {
			closed = append(closed, s)
		}
	}

	return open, closed
}

// permissionsRevision returns the revision of the newest list, which is zero while there is none.
func (k *Controller) permissionsRevision() lab.PermissionRevision {
	k.permissions.mutex.Lock()
	defer k.permissions.mutex.Unlock()

	return k.refreshPermissions(false)
}

// grantPermissions grants the newest list to the sender of a watch. This instance has led at the time now or later. Reading
// the list and recording the receiver is one step, so that a withdrawal sees the receiver or the receiver sees the withdrawal.
func (k *Controller) grantPermissions(r lab.WatchRequest, receivedAt, now time.Duration) lab.PermissionGrant {
	w := &k.permissions

	w.mutex.Lock()
	defer w.mutex.Unlock()

	v := k.refreshPermissions(false)
	if v.IsZero() || v.Before(r.Permissions.Applied) {
		return lab.PermissionGrant{}
	}

	w.holders.Granted(r.Proxy.ID, now+grantDuration)

	return newGrant(v, w.list, &w.changes, r, grantDuration+now-receivedAt)
}

// newGrant returns a grant with the list or its changes, unless the sender of the watch has the list already.
func newGrant(
	v lab.PermissionRevision, list []lab.CommitPermission, changes *permissionChanges, r lab.WatchRequest, validFor time.Duration,
) lab.PermissionGrant {
	g := lab.PermissionGrant{Revision: v, ValidFor: validFor}
	if r.Permissions.Applied == v {
		return g
	}

	g.Permissions = list

	if c, ok := changes.since(r.Permissions.Applied, list); ok && r.AcceptsChanges {
		g.Permissions, g.Base = c, r.Permissions.Applied
	}

	return g
}

// recordPermissions records what the sender of a watch at the leader has done with its lists.
func (k *Controller) recordPermissions(r lab.WatchRequest, now time.Duration) {
	k.permissions.mutex.Lock()
	defer k.permissions.mutex.Unlock()

	k.permissions.holders.Record(r.Proxy.ID, r.Permissions, now)
}

// commitPermissions implements labfailover.CommitPermissions.
type commitPermissions struct{ controller *Controller }

// Withdraw closes a service and returns once no receiver has a valid list in which it is open. It needn't wait while an
// order is unconfirmed: the service was closed before the order was recorded, and no leader has opened it since.
func (p commitPermissions) Withdraw(ctx context.Context, service string) error {
	k := p.controller

	if err := k.preparePermissions(ctx); err != nil {
		return err
	}

	// The mark comes first: a confirmation whose recording had no known result may be applied at any time.
	v := k.closeService(service)
	if v.IsZero() {
		return lab.ErrNotLeader
	}

	k.notifyWaiters()

	if o, ordered := k.participation().state.Promotion(service); ordered && !o.Confirmed {
		return nil
	}

	started, logged := k.Clock.Now(), false

	for {
		confirmed, err := k.listConfirmed(v)
		if err != nil || confirmed {
			return err
		}

		if !logged && k.Clock.Now()-started >= withdrawalLogAfter {
			k.logWaiting(service, v)

			logged = true
		}

		if err := k.Clock.Sleep(ctx, withdrawalPoll); err != nil {
			return errors.Newf("wait for receivers of permissions: %w", err)
		}
	}
}

// closeService withdraws the permission of a service and returns the revision of the list without it, or zero if this
// instance doesn't lead any more.
func (k *Controller) closeService(service string) lab.PermissionRevision {
	k.permissions.mutex.Lock()
	defer k.permissions.mutex.Unlock()

	if k.permissions.withdrawn == nil {
		return lab.PermissionRevision{}
	}

	k.permissions.withdrawn[service] = true

	return k.refreshPermissions(true)
}

// listConfirmed reports whether no receiver has a valid list before a revision of this leadership.
func (k *Controller) listConfirmed(v lab.PermissionRevision) (bool, error) {
	now := k.Clock.Now()

	l := k.participation().group.Leadership()
	if !l.IsLeader || l.Term != v.Term {
		return false, lab.ErrNotLeader
	}

	k.permissions.mutex.Lock()
	defer k.permissions.mutex.Unlock()

	return k.permissions.holders.Confirmed(v, now), nil
}

func (k *Controller) logWaiting(service string, v lab.PermissionRevision) {
	now := k.Clock.Now()

	k.permissions.mutex.Lock()
	ids, end := k.permissions.holders.Waiting(v, now, maxLoggedNames)
	k.permissions.mutex.Unlock()

	k.Log.Info().Str("service", service).Uint64("term", v.Term).Uint64("number", v.Number).Strs("holders", ids).
		Dur("at_most", end-now).Msg("withdrawal_waits")
}

// withdrawn reports whether this leader has withdrawn the permission of a service.
func (k *Controller) withdrawn(service string) bool {
	l := k.participation().group.Leadership()

	k.permissions.mutex.Lock()
	defer k.permissions.mutex.Unlock()

	return l.IsLeader && l.Term == k.permissions.term && k.permissions.withdrawn[service]
}

// endWithdrawal lets the replicated state decide about the permission of a service whose replacement has ended. An order
// whose recording had no known result may still be recorded. A later log entry is applied only after it. If the entry
// fails, the service stays closed until the next attempt.
func (k *Controller) endWithdrawal(ctx context.Context, service string) {
	if !k.withdrawn(service) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, endWithdrawalTimeout)
	defer cancel()

	if _, err := k.propose(ctx, labgroupstate.Command{}); err != nil {
		k.Log.Info().Err(err).Str("service", service).Msg("withdrawal_not_ended")

		return
	}

	k.openService(service, false)
}

// openService removes the mark of a withdrawal. The replicated state must be that after the last step of the replacement.
// Unless it is urgent, several services can be opened by one list.
func (k *Controller) openService(service string, urgent bool) {
	k.permissions.mutex.Lock()
	delete(k.permissions.withdrawn, service)

	if urgent {
		k.refreshPermissions(true)
	}
	k.permissions.mutex.Unlock()

	k.notifyWaiters()
}
