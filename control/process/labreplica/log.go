package labreplica

import (
	"slices"

	"laburnumlock.dev/lab"
)

// entryLog holds the entries after a base position in memory.
type entryLog struct {
	baseIndex      uint64
	baseTerm       uint64
	entries        []lab.LogEntry
	outputIndex    uint64 // last index given out for persistence
	persistedIndex uint64 // last index known to be persisted
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())

	return t
}

// term returns the term of an entry; ok is false when the entry was compacted or does not exist.
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

// findConflictByTerm returns the highest index up to the given one whose term is not above the given one.
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

// between returns the entries after one index up to another.
func (l *entryLog) between(after, upTo uint64) []lab.LogEntry {
	if upTo <= after {
		return nil
	}

	return slices.Clip(l.entries[after-l.baseIndex : upTo-l.baseIndex])
}

// batch returns entries from an index on: at least one, then as many as fit into the size.
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

// truncate removes the entries from an index on. Clipping makes the next append copy, since messages share the array.
func (l *entryLog) truncate(from uint64) {
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
	l.outputIndex = min(l.outputIndex, from-1)
	l.persistedIndex = min(l.persistedIndex, from-1)
}

// compact drops the entries up to an index.
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
