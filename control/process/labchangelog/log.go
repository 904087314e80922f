package labchangelog

import "slices"

// maxNames is the number of changes that are kept: more than two for each of 3,000 members. The log is trimmed when it
// has twice as many.
const maxNames = 8192

// Log numbers the changes of a collection. Its zero value is ready for use; the caller serializes access.
type Log struct {
	revision uint64
	recent   []string // names of the items that changed last; each has led to a revision of its own
}

// Add records that the item of a name was added, changed or removed.
func (l *Log) Add(name string) {
	l.revision++

	if len(l.recent) == 2*maxNames {
		l.recent = slices.Delete(l.recent, 0, maxNames)
	}

	l.recent = append(l.recent, name)
}

// Reset records that any item may have changed.
func (l *Log) Reset() {
	l.revision++
	l.recent = nil
}

// Revision returns a number that grows with each change.
func (l *Log) Revision() uint64 { return l.revision }

// Since returns the names of the items that changed after a revision, each once. It returns false if they are not known
// any more, or if the revision is not one of this log.
func (l *Log) Since(revision uint64) ([]string, bool) {
	if revision > l.revision || l.revision-revision > uint64(len(l.recent)) {
		return nil, false
	}

	out := slices.Clone(l.recent[len(l.recent)-int(l.revision-revision):])
	slices.Sort(out)

	return slices.Compact(out), true
}
