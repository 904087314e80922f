package labmembers

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labchangelog"
)

// ExpireAfter is how long a member that sends no announcements is kept.
const ExpireAfter = 60 * time.Second

// Entry is the newest announcement of a member.
type Entry struct {
	Announcement lab.Announcement
	LastHeard    time.Duration // time on Registry.Clock when a control instance received it from the member
	RoleSince    time.Duration // time on Registry.Clock when the announced role or the incarnation last changed
	LeavingSince time.Duration // time on Registry.Clock when a control instance first heard that the member is leaving
}

// Registry holds the newest announcement of each member.
type Registry struct {
	Clock lab.Clock
	// Changed is called after a change that proxies must learn. It must not block. A change is urgent if it concerns
	// the clients of a known member: it leaves, ends, starts again, moves or changes its role.
	Changed func(urgent bool)

	mutex     sync.Mutex
	entries   map[string]*Entry
	byService map[string][]*Entry          // sorted by member
	byAddress map[string]map[string]*Entry // members that have not ended, by address and name
	leaving   map[string]*Entry            // members that are leaving and have not ended
	services  []string                     // sorted names in byService; nil if it must be built again
	layout    uint64                       // grows with each change of services
	log       labchangelog.Log             // changes that proxies must learn, by name of the member
}

// Apply records an announcement, unless it is invalid. age is the time since a control instance received it from the
// member. Apply reports whether the announcement is newer than the known one, and whether the two differ in more than
// the sequence.
func (r *Registry) Apply(a lab.Announcement, age time.Duration) (newer, changed bool) {
	if a.Validate() != nil {
		return false, false
	}

	r.mutex.Lock()
	newer, changed, urgent := r.apply(a, r.Clock.Now()-age)
	r.mutex.Unlock()

	if changed && r.Changed != nil {
		r.Changed(urgent)
	}

	return newer, changed
}

func (r *Registry) apply(a lab.Announcement, heard time.Duration) (newer, changed, urgent bool) {
	old, known := r.entries[a.Member]
	if known && a.Incarnation == old.Announcement.Incarnation {
		a.Revived = max(a.Revived, old.Announcement.Revived)
	}

	if known && !supersedes(a, old.Announcement) && !startedAgain(a, old, heard) {
		return false, false, false
	}

	if !a.Terminated && r.addressTaken(a) {
		return false, false, false
	}

	e := newEntry(a, old, heard)

	if known && a.Terminated && a.Incarnation == 0 {
		e.Announcement = old.Announcement
		e.Announcement.Terminated = true
	}

	if known && equalExceptSequence(old.Announcement, e.Announcement) {
		*old = *e

		return true, false, false
	}

	urgent = known && affectsClients(old.Announcement, e.Announcement)

	if known {
		r.removeFromIndex(old)
	}

	r.addToIndex(e)
	r.retireAddress(e.Announcement)
	r.log.Add(a.Member)

	return true, true, urgent
}

// affectsClients reports whether clients of a member notice the difference between two of its announcements.
func affectsClients(a, b lab.Announcement) bool {
	return a.Draining != b.Draining || a.Terminated != b.Terminated || a.Incarnation != b.Incarnation ||
		a.Address != b.Address || a.Primary != b.Primary
}

// addToIndex adds an entry. The mutex must be held.
func (r *Registry) addToIndex(e *Entry) {
	if r.entries == nil {
		r.entries, r.byService = map[string]*Entry{}, map[string][]*Entry{}
		r.byAddress, r.leaving = map[string]map[string]*Entry{}, map[string]*Entry{}
	}

	a := e.Announcement
	r.entries[a.Member] = e

	all, ok := r.byService[a.Database]
	if !ok {
		r.services = nil
		r.layout++
	}

	i, _ := slices.BinarySearchFunc(all, a.Member, compareMember)
	r.byService[a.Database] = slices.Insert(all, i, e)

	if a.Terminated {
		return
	}

	if r.byAddress[a.Address] == nil {
		r.byAddress[a.Address] = map[string]*Entry{}
	}

	r.byAddress[a.Address][a.Member] = e

	if a.Draining {
		r.leaving[a.Member] = e
	}
}

// removeFromIndex removes an entry. The mutex must be held.
func (r *Registry) removeFromIndex(e *Entry) {
	a := e.Announcement
	delete(r.entries, a.Member)

	all := r.byService[a.Database]
	i, _ := slices.BinarySearchFunc(all, a.Member, compareMember)

	if all = slices.Delete(all, i, i+1); len(all) > 0 {
		r.byService[a.Database] = all
	} else {
		delete(r.byService, a.Database)

		r.services = nil
		r.layout++
	}

	r.removeLive(a)
}

// removeLive removes a member from the indexes of those that have not ended. The mutex must be held.
func (r *Registry) removeLive(a lab.Announcement) {
	delete(r.leaving, a.Member)
	delete(r.byAddress[a.Address], a.Member)

	if len(r.byAddress[a.Address]) == 0 {
		delete(r.byAddress, a.Address)
	}
}

func compareMember(e *Entry, member string) int {
	return strings.Compare(e.Announcement.Member, member)
}

// newEntry returns the entry for an announcement of a member with the given old entry, which may be nil.
func newEntry(a lab.Announcement, old *Entry, heard time.Duration) *Entry {
	e := &Entry{Announcement: a, LastHeard: heard, RoleSince: heard, LeavingSince: heard}
	if old == nil {
		return e
	}

	if old.Announcement.Incarnation == a.Incarnation && old.Announcement.Primary == a.Primary {
		e.RoleSince = old.RoleSince
	}

	// A member that starts again and still leaves has no more time than before.
	if old.Announcement.Draining {
		e.LeavingSince = old.LeavingSince
	}

	return e
}

// silentAfter is how long a running member can be silent. It announces itself every 1.2 s, and a second later to another
// instance if it gets no response.
const silentAfter = 3 * time.Second

// startedAgain reports whether an announcement of a lower incarnation is that of a member that has started again with its
// clock set back. While the known incarnation is heard from, the announcement is a late one of an earlier start.
func startedAgain(a lab.Announcement, old *Entry, heard time.Duration) bool {
	return a.Incarnation > 0 && a.Incarnation < old.Announcement.Incarnation && !a.Terminated && !old.Announcement.Terminated &&
		heard-old.LastHeard > silentAfter
}

// Outdated reports whether a later incarnation of a member is known than the one that an announcement is from.
func (r *Registry) Outdated(a lab.Announcement) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	e, known := r.entries[a.Member]

	return known && !a.Terminated && a.Incarnation < e.Announcement.Incarnation
}

// supersedes reports whether a is newer than b. An announcement with Terminated set and without an incarnation
// terminates the known incarnation.
func supersedes(a, b lab.Announcement) bool {
	if a.Terminated && a.Incarnation == 0 {
		return !b.Terminated
	}

	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}

	if a.Revived != b.Revived {
		return a.Revived > b.Revived
	}

	if b.Terminated {
		return false
	}

	return a.Terminated || a.Sequence > b.Sequence
}

// addressTaken reports whether another member with a higher incarnation has announced the address of a.
func (r *Registry) addressTaken(a lab.Announcement) bool {
	for _, e := range r.byAddress[a.Address] {
		if o := e.Announcement; o.Member != a.Member && o.Incarnation > a.Incarnation {
			return true
		}
	}

	return false
}

// endedQuiet is how long after the record of a member's end its announcements can be those that it sent before its end.
const endedQuiet = time.Second

// Contested reports whether an announcement has no effect because its member is recorded as ended, or because another
// member has announced the address later. The announcement may be a late one, or that of a member that runs: the one that
// answers at the address under its name.
func (r *Registry) Contested(a lab.Announcement) bool {
	if a.Terminated {
		return false
	}

	r.mutex.Lock()
	defer r.mutex.Unlock()

	e, known := r.entries[a.Member]

	switch {
	case !known || a.Incarnation > e.Announcement.Incarnation:
		return r.addressTaken(a)
	case a.Incarnation < e.Announcement.Incarnation || a.Sequence <= e.Announcement.Sequence:
		return false
	}

	return (e.Announcement.Terminated && r.Clock.Now()-e.LastHeard > endedQuiet) || r.addressTaken(a)
}

// Revive records an announcement of a member that has been found to run at its address. Other members there are removed:
// what they are is known once they announce themselves again.
func (r *Registry) Revive(a lab.Announcement) {
	r.mutex.Lock()

	for _, e := range r.byAddress[a.Address] {
		if e.Announcement.Member != a.Member {
			r.removeFromIndex(e)
			r.log.Add(e.Announcement.Member)
		}
	}

	if e, known := r.entries[a.Member]; known && e.Announcement.Terminated && e.Announcement.Incarnation == a.Incarnation {
		a.Revived = e.Announcement.Revived + 1
	}

	r.apply(a, r.Clock.Now())
	r.mutex.Unlock()

	if r.Changed != nil {
		r.Changed(true)
	}
}

// retireAddress marks all other members with the announced address as terminated.
func (r *Registry) retireAddress(a lab.Announcement) {
	if a.Terminated {
		return
	}

	for _, e := range r.byAddress[a.Address] {
		if o := &e.Announcement; o.Member != a.Member {
			r.removeLive(*o)
			o.Terminated = true
			r.log.Add(o.Member)
		}
	}
}

// equalExceptSequence reports whether both announcements have the same meaning to proxies, which ignore the sequence.
func equalExceptSequence(a, b lab.Announcement) bool {
	a.Sequence = b.Sequence

	return a == b
}

// RecordLeaving records since when a member has been leaving, if that is earlier than known.
func (r *Registry) RecordLeaving(member string, incarnation uint64, since time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if e, ok := r.entries[member]; ok && e.Announcement.Draining && e.Announcement.Incarnation == incarnation {
		e.LeavingSince = min(e.LeavingSince, since)
	}
}

// Leaving returns the members that are leaving and have not ended.
func (r *Registry) Leaving() []lab.LeavingMember {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	var out []lab.LeavingMember

	for _, e := range r.leaving {
		out = append(out, lab.LeavingMember{
			Member: e.Announcement.Member, Incarnation: e.Announcement.Incarnation, For: r.Clock.Now() - e.LeavingSince,
		})
	}

	return out
}

// RemoveSilent removes members that have been silent for longer than ExpireAfter.
func (r *Registry) RemoveSilent() {
	r.removeIf(func(_ string, silentFor time.Duration) bool { return silentFor > ExpireAfter })
}

// Retain removes the members that the leader doesn't know any more: those that are not in present and have not been heard
// from for at least silence. An instance that was down for a while has stored members that have left since.
func (r *Registry) Retain(present map[string]bool, silence time.Duration) {
	r.removeIf(func(id string, silentFor time.Duration) bool { return !present[id] && silentFor >= silence })
}

func (r *Registry) removeIf(condition func(id string, silentFor time.Duration) bool) {
	r.mutex.Lock()
	now, before := r.Clock.Now(), r.log.Revision()

	for id, e := range r.entries {
		if condition(id, now-e.LastHeard) {
			r.removeFromIndex(e)
			r.log.Add(id)
		}
	}

	changed := r.log.Revision() != before
	r.mutex.Unlock()

	if changed && r.Changed != nil {
		r.Changed(false)
	}
}

// Entries returns copies of all entries sorted by member, including terminated members.
func (r *Registry) Entries() []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, *e)
	}

	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Announcement.Member, b.Announcement.Member) })

	return out
}

// Entry returns a copy of the entry of a member.
func (r *Registry) Entry(member string) (Entry, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if e, ok := r.entries[member]; ok {
		return *e, true
	}

	return Entry{}, false
}

// Len returns the number of members, including terminated ones.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return len(r.entries)
}

// Live returns the announcement of the member of a service that has not ended at an address.
func (r *Registry) Live(service, address string) (lab.Announcement, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	for _, e := range r.byAddress[address] {
		if e.Announcement.Database == service {
			return e.Announcement, true
		}
	}

	return lab.Announcement{}, false
}

// Members returns the names of all members, including terminated ones.
func (r *Registry) Members() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return slices.Collect(maps.Keys(r.entries))
}

// Service returns copies of the entries of one service sorted by member, including terminated members.
func (r *Registry) Service(name string) []Entry {
	return r.AppendService(nil, name)
}

// AppendService appends to a slice what Service returns.
func (r *Registry) AppendService(out []Entry, name string) []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	for _, e := range r.byService[name] {
		out = append(out, *e)
	}

	return out
}

// Services returns the sorted names of the services that have entries, and a number that grows when they change. The
// caller must not change the slice.
func (r *Registry) Services() ([]string, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.services == nil {
		r.services = slices.Sorted(maps.Keys(r.byService))
	}

	return r.services, r.layout
}

// Revision returns a number that grows with each change that proxies must learn.
func (r *Registry) Revision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.log.Revision()
}

// ChangesSince returns the names of the members that were added, changed or removed after a revision, and the present
// revision. It returns false if they are not known any more.
func (r *Registry) ChangesSince(revision uint64) (members []string, now uint64, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	members, known = r.log.Since(revision)

	return members, r.log.Revision(), known
}
