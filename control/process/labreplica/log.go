package labreplica

import (
	"slices"

	"laburnumlock.dev/lab"
)

// entryLog holds the part of the log that has not been compacted.
type entryLog struct {
	baseIndex      uint64         // index of the last compacted entry
	baseTerm       uint64         // term of the last compacted entry
	entries        []lab.LogEntry // entries after baseIndex
	outputIndex    uint64         // last index that Output returned for persistence
	persistedIndex uint64         // last index known to be persisted
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())

	return t
}

// term returns the term of the entry at index; ok is false when the entry was compacted or does not exist.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == 0:
		return 0, true
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}

	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)

	return ok && t == term
}

// findConflictByTerm returns the index and term of the last entry at or before index whose term does not exceed the
// given term. After a rejected append, follower and leader use it to skip entries that can't match.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	if index < l.baseIndex {
		return index, 0
	}

	i := min(index, l.lastIndex())
	for i > l.baseIndex {
		t, _ := l.term(i)
		if t <= term {
			return i, t
		}
		i--
	}

	return l.baseIndex, l.baseTerm
}

// between returns the entries whose indexes are greater than after and at most upTo.
func (l *entryLog) between(after, upTo uint64) []lab.LogEntry {
	if upTo <= after {
		return nil
	}

	return slices.Clip(l.entries[after-l.baseIndex : upTo-l.baseIndex])
}

// batch returns consecutive entries that start at index from: at least one, and more as long as their data fits into
// size bytes.
func (l *entryLog) batch(from uint64, size int) []lab.LogEntry {
	e := l.entries[from-l.baseIndex-1:]
	n, b := 0, 0

	for n < len(e) && (n == 0 || b+len(e[n].Data) <= size) {
		b += len(e[n].Data)
		n++
	}

	return slices.Clip(e[:n])
}

func (l *entryLog) append(entries ...lab.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at index from and all later ones. The slice is clipped so that the next append copies it,
// because queued messages share the underlying array.
func (l *entryLog) truncate(from uint64) {
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
	l.outputIndex = min(l.outputIndex, from-1)
	l.persistedIndex = min(l.persistedIndex, from-1)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}

	t, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, t
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, outputIndex: index, persistedIndex: index}
}
