package labroster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// ExpireAfter is how long a silent member is kept. It is far above the outages of members that return with their log,
// because a forgotten replica no longer holds up a promotion.
const ExpireAfter = 60 * time.Second

// Entry is the newest announcement of a member.
type Entry struct {
	Announcement lab.Announcement
	LastHeard    time.Duration // on the roster's clock, when it was received from the member itself
	RoleSince    time.Duration // when its announced role last changed
}

// Registry holds the members' entries.
type Registry struct {
	Clock lab.Clock
	// Changed is called after a change that proxies must learn; it must not block.
	Changed func()

	mutex    sync.Mutex
	entries  map[string]*Entry
	revision uint64
}

// Apply takes over an announcement that its sender received age ago. It reports whether the announcement is news, and
// whether it changes more than the sequence.
func (r *Registry) Apply(a lab.Announcement, age time.Duration) (news, material bool) {
	r.mutex.Lock()
	news, material = r.apply(a, r.Clock.Now()-age)
	r.mutex.Unlock()

	if material && r.Changed != nil {
		r.Changed()
	}

	return news, material
}

func (r *Registry) apply(a lab.Announcement, heard time.Duration) (news, material bool) {
	if r.entries == nil {
		r.entries = map[string]*Entry{}
	}

	old, known := r.entries[a.Member]
	if known && !supersedes(a, old.Announcement) {
		return false, false
	}

	if !a.Terminated && r.addressTaken(a) {
		return false, false
	}

	e := &Entry{Announcement: a, LastHeard: heard, RoleSince: heard}
	if known && old.Announcement.Primary == a.Primary && old.Announcement.Incarnation == a.Incarnation {
		e.RoleSince = old.RoleSince
	}

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

// supersedes reports whether a is newer than b. A departure without an incarnation ends the known one.
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

// addressTaken reports whether a younger member has registered at the address.
func (r *Registry) addressTaken(a lab.Announcement) bool {
	for _, e := range r.entries {
		o := e.Announcement
		if o.Member != a.Member && o.Address == a.Address && !o.Terminated && o.Incarnation > a.Incarnation {
			return true
		}
	}

	return false
}

// retireAddress marks older members at the address of a new one as gone.
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

// equalExceptSequence reports whether proxies would treat both announcements alike.
func equalExceptSequence(a, b lab.Announcement) bool {
	a.Sequence = b.Sequence

	return a == b
}

// RemoveSilent forgets members that have been silent for ForgetAfter.
func (r *Registry) RemoveSilent() {
	r.mutex.Lock()
	now, before := r.Clock.Now(), r.revision

	for id, e := range r.entries {
		if now-e.LastHeard > ExpireAfter {
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

// Entries returns copies of all entries, also of members that are gone, by member.
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

// Revision grows with each change that proxies must learn.
func (r *Registry) Revision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.revision
}
