package labmembers

import (
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
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
	// Changed is called after a change that proxies must learn. It must not block.
	Changed func()

	mutex    sync.Mutex
	entries  map[string]*Entry
	revision uint64
}

// Apply records an announcement, unless it is invalid. age is the time since a control instance received it from the
// member. Apply reports whether the announcement is newer than the known one, and whether the two differ in more than
// the sequence.
func (r *Registry) Apply(a lab.Announcement, age time.Duration) (newer, changed bool) {
	if a.Validate() != nil {
		return false, false
	}

	r.mutex.Lock()
	newer, changed = r.apply(a, r.Clock.Now()-age)
	r.mutex.Unlock()

	if changed && r.Changed != nil {
		r.Changed()
	}

	return newer, changed
}

func (r *Registry) apply(a lab.Announcement, heard time.Duration) (newer, changed bool) {
	if r.entries == nil {
		r.entries = map[string]*Entry{}
	}

	old, known := r.entries[a.Member]
	if known && !supersedes(a, old.Announcement) && !startedAgain(a, old, heard) {
		return false, false
	}

	if !a.Terminated && r.addressTaken(a) {
		return false, false
	}

	e := newEntry(a, old, heard)

	if known && a.Terminated && a.Incarnation == 0 {
		e.Announcement = old.Announcement
		e.Announcement.Terminated = true
	}

	r.entries[a.Member] = e
	r.retireAddress(e.Announcement)

	if known && equalExceptSequence(old.Announcement, e.Announcement) {
		return true, false
	}

	r.revision++

	return true, true
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

	if b.Terminated {
		return false
	}

	return a.Terminated || a.Sequence > b.Sequence
}

// addressTaken reports whether another member with a higher incarnation has announced the address of a.
func (r *Registry) addressTaken(a lab.Announcement) bool {
	for _, e := range r.entries {
		o := e.Announcement
		if o.Member != a.Member && o.Address == a.Address && !o.Terminated && o.Incarnation > a.Incarnation {
			return true
		}
	}

	return false
}

// retireAddress marks all other members with the announced address as terminated.
func (r *Registry) retireAddress(a lab.Announcement) {
	if a.Terminated {
		return
	}

	for _, e := range r.entries {
		o := &e.Announcement
		if o.Member != a.Member && o.Address == a.Address && !o.Terminated {
			o.Terminated = true
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

	for _, e := range r.entries {
		if a := e.Announcement; a.Draining && !a.Terminated {
			out = append(out, lab.LeavingMember{
				Member: a.Member, Incarnation: a.Incarnation, For: r.Clock.Now() - e.LeavingSince,
			})
		}
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
	now, before := r.Clock.Now(), r.revision

	for id, e := range r.entries {
		if condition(id, now-e.LastHeard) {
			delete(r.entries, id)

			r.revision++
		}
	}

	changed := r.revision != before
	r.mutex.Unlock()

	if changed && r.Changed != nil {
		r.Changed()
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

// Service returns copies of the entries of one service sorted by member, including terminated members.
func (r *Registry) Service(name string) []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	var out []Entry

	for _, e := range r.entries {
		if e.Announcement.Database == name {
			out = append(out, *e)
		}
	}

	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Announcement.Member, b.Announcement.Member) })

	return out
}

// Revision returns a number that grows with each change that proxies must learn.
func (r *Registry) Revision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.revision
}
