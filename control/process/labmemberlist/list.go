package labmemberlist

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
)

const (
	// termShift is the position of the leader's term in a revision. Revisions of a later leader are therefore higher. A
	// revision without a term comes from a version of the software that doesn't order the revisions of several leaders.
	termShift = 40
	// maxRemoved bounds the removed members that are remembered for receivers with an earlier revision.
	maxRemoved = 4096
	// maxSpans bounds the leaders whose revisions are remembered.
	maxSpans = 16
)

// List is the list of members at one revision, with the revision of the latest change of each item. Each control
// instance has one: the leader makes it, and the others follow the leader's. It is safe for concurrent use.
type List struct {
	mutex     sync.Mutex
	revision  uint64
	complete  bool
	spans     []span
	members   map[string]listedMember // by name
	removed   map[lab.MemberName]uint64
	primaries map[string]listedPrimary // by service
	whole     []byte                   // compressed list, nil if it must be compressed again
	changes   map[uint64][]byte        // compressed changes by the revision of the receiver
}

// span is a range of revisions of one leader. The list has had the first and the last of them.
type span struct{ first, last uint64 }

type listedMember struct {
	announcement lab.Announcement
	revision     uint64 // revision of the latest change
}

type listedPrimary struct {
	member   string // empty if none is known any more
	revision uint64
}

// Response is what a receiver gets.
type Response struct {
	Revision uint64
	Complete bool   // no other members exist
	Whole    []byte // compressed lab.MemberList; empty if the receiver has no need of it
	Changes  []byte // compressed lab.MemberChanges, instead of Whole
}

// Revision returns the revision of the list, or 0 before the first.
func (l *List) Revision() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.revision
}

// Complete returns the revision, and whether the list is complete.
func (l *List) Complete() (revision uint64, complete bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.revision, l.complete
}

// Next returns a revision for the leader of a term that is higher than the present one. It returns false if the list is
// that of a later leader.
func (l *List) Next(term uint64) (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return max(l.revision, term<<termShift) + 1, l.revision>>termShift <= term
}

// Member returns the listed announcement of a member.
func (l *List) Member(name string) (lab.Announcement, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	m, ok := l.members[name]

	return m.announcement, ok
}

// Members returns the names of the listed members.
func (l *List) Members() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return slices.Collect(maps.Keys(l.members))
}

// Primary returns the listed primary of a service, or an empty string if none is known.
func (l *List) Primary(service string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.primaries[service].member
}

// Apply applies changes to the list of a revision. It ignores them if the list has another one by now.
func (l *List) Apply(from uint64, c lab.MemberChanges, complete bool, revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if from == l.revision && revision > l.revision {
		l.apply(c, complete, revision)
	}
}

// Replace replaces the list, unless it has the revision or a later one.
func (l *List) Replace(list lab.MemberList, complete bool, revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if revision <= l.revision && revision>>termShift > 0 {
		return
	}

	c := lab.MemberChanges{Primaries: map[string]string{}}
	present := map[string]bool{}

	for _, a := range list.Members {
		present[a.Member] = true

		if old, ok := l.members[a.Member]; !ok || Differ(old.announcement, a) {
			c.Set = append(c.Set, a)
		}
	}

	for name, m := range l.members {
		if !present[name] {
			c.Removed = append(c.Removed, lab.MemberName{Service: m.announcement.Database, Member: name})
		}
	}

	for s, p := range l.primaries {
		if p.member != "" && list.Primaries[s] == "" {
			c.Primaries[s] = ""
		}
	}

	for s, p := range list.Primaries {
		if l.primaries[s].member != p {
			c.Primaries[s] = p
		}
	}

	// What has changed twice and is as before is unknown, so a receiver with a revision in between needs the whole list.
	l.spans = append(l.spans, span{revision, revision})
	l.apply(c, complete, revision)
}

// Differ reports whether two announcements differ in what proxies use. They ignore the sequence.
func Differ(a, b lab.Announcement) bool {
	a.Sequence = b.Sequence

	return a != b
}

// apply applies changes. The mutex must be held.
func (l *List) apply(c lab.MemberChanges, complete bool, revision uint64) {
	if l.members == nil {
		l.members, l.removed = map[string]listedMember{}, map[lab.MemberName]uint64{}
		l.primaries = map[string]listedPrimary{}
	}

	for _, n := range c.Removed {
		if l.members[n.Member].announcement.Database == n.Service {
			delete(l.members, n.Member)
		}

		l.removed[n] = revision
	}

	for _, a := range c.Set {
		if old, ok := l.members[a.Member]; ok && old.announcement.Database != a.Database {
			l.removed[lab.MemberName{Service: old.announcement.Database, Member: a.Member}] = revision
		}

		delete(l.removed, lab.MemberName{Service: a.Database, Member: a.Member})
		l.members[a.Member] = listedMember{a, revision}
	}

	for s, p := range c.Primaries {
		l.primaries[s] = listedPrimary{p, revision}
	}

	l.addRevision(revision)
	l.complete, l.whole, l.changes = complete, nil, nil
}

// addRevision sets the revision and forgets changes that are too old. The mutex must be held.
func (l *List) addRevision(revision uint64) {
	if n := len(l.spans); n > 0 && l.revision>>termShift == revision>>termShift && revision > l.revision {
		l.spans[n-1].last = revision
	} else {
		l.spans = append(l.spans, span{revision, revision})
	}

	l.revision = revision

	if len(l.removed) > maxRemoved {
		l.removed, l.spans = map[lab.MemberName]uint64{}, []span{{revision, revision}}
	}

	if len(l.spans) > maxSpans {
		l.spans = slices.Delete(l.spans, 0, len(l.spans)-maxSpans)
		maps.DeleteFunc(l.removed, func(_ lab.MemberName, r uint64) bool { return r <= l.spans[0].first })
	}
}

// Since returns what the receiver of a revision needs. A receiver with a later revision needs nothing. The whole list is
// for receivers without a list, and for those whose list is not one that this list has been or passed through: revisions
// of two leaders at once, for example.
func (l *List) Since(revision uint64, acceptsChanges bool) (Response, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	r := Response{Revision: l.revision, Complete: l.complete}

	ordered := l.revision>>termShift > 0 || l.revision == 0
	if revision == l.revision || (revision > l.revision && ordered) {
		return r, nil
	}

	var err error

	if acceptsChanges && l.passed(revision) {
		r.Changes, err = l.packedChanges(revision)
	} else {
		r.Whole, err = l.packedWhole()
	}

	return r, err
}

// passed reports whether changes are known since a revision. A revision between two of this list is of the same leader
// and has part of the changes between the two. Applying them all to it has the same result.
func (l *List) passed(revision uint64) bool {
	return slices.ContainsFunc(l.spans, func(s span) bool { return s.first <= revision && revision <= s.last })
}

func (l *List) packedChanges(since uint64) ([]byte, error) {
	if b, ok := l.changes[since]; ok {
		return b, nil
	}

	c := lab.MemberChanges{Primaries: map[string]string{}}

	for n, r := range l.removed {
		if r > since {
			c.Removed = append(c.Removed, n)
		}
	}

	for _, m := range l.members {
		if m.revision > since {
			c.Set = append(c.Set, m.announcement)
		}
	}

	for s, p := range l.primaries {
		if p.revision > since {
			c.Primaries[s] = p.member
		}
	}

	b, err := labpack.Encode(c)
	if err != nil {
		return nil, errors.Newf("pack changes of members: %w", err)
	}

	if l.changes == nil {
		l.changes = map[uint64][]byte{}
	}

	l.changes[since] = b

	return b, nil
}

func (l *List) packedWhole() ([]byte, error) {
	if l.whole != nil {
		return l.whole, nil
	}

	list := lab.MemberList{Primaries: map[string]string{}}

	for _, m := range l.members {
		list.Members = append(list.Members, m.announcement)
	}

	slices.SortFunc(list.Members, func(a, b lab.Announcement) int { return strings.Compare(a.Member, b.Member) })

	for s, p := range l.primaries {
		if p.member != "" {
			list.Primaries[s] = p.member
		}
	}

	b, err := labpack.Encode(list)
	if err != nil {
		return nil, errors.Newf("pack list of members: %w", err)
	}

	l.whole = b

	return b, nil
}
