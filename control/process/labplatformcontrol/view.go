package labplatformcontrol

import (
	"time"

	"laburnumlock.dev/lab"
)

// view is the state of the control group from which watches are answered. The leader answers from its own state, the
// other instances from what they last received from the leader. Revisions can be compared only within one leader epoch, unless
// stated otherwise; all views of an epoch have the same revisions.
type view interface {
	// available reports whether the view is recent enough to answer from it.
	available() bool
	// leaderEpoch returns a number that identifies the leader and its run of the process.
	leaderEpoch() uint64
	// membersRevision returns the revision of the list of members. Only these revisions can be compared between leaders.
	membersRevision() uint64
	// documentVersion returns the version of the newest configuration document.
	documentVersion() uint64
	// proxiesRevision returns the revision of the list of proxies, or 0 while the list is incomplete.
	proxiesRevision() uint64
	// permissionsRevision returns the revision of the list of commit permissions, or zero while there is none.
	permissionsRevision() lab.PermissionRevision
	// response returns the response to a watch, without positions, times and permissions.
	response(r lab.WatchRequest) (lab.WatchResponse, error)
	// grantPermissions returns the permissions for the sender of a watch. The view was available at the time now or later.
	grantPermissions(r lab.WatchRequest, receivedAt, now time.Duration) lab.PermissionGrant
}

// hasChanges reports whether there are changes that must be sent at once. An instance that has an older list of members than
// the sender has nothing to send. Changes of the list of proxies wait for the
// next regular response unless the sender has no list yet: those who use a proxy that has stopped notice it themselves,
// and during a restart of all proxies every change would otherwise wake all watches.
func hasChanges(v view, r lab.WatchRequest) bool {
	return r.LeaderEpoch != v.leaderEpoch() || r.MembersRevision < v.membersRevision() ||
		r.ConfigurationVersion < v.documentVersion() ||
		(r.ProxiesRevision == 0 && proxyListChanged(v, r)) || permissionsChanged(v, r)
}

// permissionsChanged reports whether the sender of a watch must learn of a list of commit permissions at once. A sender that
// has had a response of this leader and no list has nothing that could be withdrawn. It may be of a version without permissions.
func permissionsChanged(v view, r lab.WatchRequest) bool {
	return !r.Permissions.Applied.IsZero() && r.Permissions.Applied.Before(v.permissionsRevision())
}

// proxyListChanged reports whether the proxy list is complete and differs from the list that the sender of a watch has.
func proxyListChanged(v view, r lab.WatchRequest) bool {
	p := v.proxiesRevision()

	return p > 0 && (r.LeaderEpoch != v.leaderEpoch() || r.ProxiesRevision != p)
}

// view returns the view from which this instance answers watches.
func (k *Controller) view() view {
	if k.Leading() {
		return leaderView{k}
	}

	return k.relay
}

// leaderView is the view of the leader.
type leaderView struct {
	*Controller
}

func (v leaderView) available() bool { return v.Leading() }

func (v leaderView) documentVersion() uint64 { return v.participation().state.Document().Version }

func (v leaderView) membersRevision() uint64 { return v.refreshMembers() }

// proxiesRevision returns the number of changes of the list, plus 1 since 0 means that the list is incomplete.
func (v leaderView) proxiesRevision() uint64 {
	if !v.proxiesComplete() {
		return 0
	}

	return v.proxies.removeSilent() + 1
}

func (v leaderView) response(r lab.WatchRequest) (lab.WatchResponse, error) {
	v.refreshMembers()

	a := lab.WatchResponse{LeaderEpoch: v.leaderEpoch()}
	if err := v.addMembers(r, &a); err != nil {
		return lab.WatchResponse{}, err
	}

	if d := v.participation().state.Document(); d.Version > r.ConfigurationVersion {
		a.Configuration = d.Packed
	}

	if proxyListChanged(v, r) {
		if err := v.addProxyList(r, &a); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	a.ControlAddresses, a.ControlZones = v.controlInstances()

	return a, nil
}

// addMembers adds what the sender of a watch needs of the list of members to a response.
func (k *Controller) addMembers(r lab.WatchRequest, a *lab.WatchResponse) error {
	m, err := k.memberLists.list.Since(r.MembersRevision, r.AcceptsChanges)
	a.MembersRevision, a.MembersComplete, a.Members, a.MemberChanges = m.Revision, m.Complete, m.Whole, m.Changes

	return err
}
