package lab

import "fmt"

// PrimaryTerm is the number of a period in which a database has the same primary. It equals the PostgreSQL timeline.
type PrimaryTerm uint32

// WALPosition is a position in the write-ahead log of a database.
type WALPosition struct {
	Term   PrimaryTerm `json:"term"   msgpack:"t"`
	Offset uint64      `json:"offset" msgpack:"o"` // offset in the write-ahead log in bytes
}

// String formats the position as term/offset, with the offset in hexadecimal.
func (p WALPosition) String() string {
	return fmt.Sprintf("%d/%X", p.Term, p.Offset)
}

// IsZero reports whether the position is unset.
func (p WALPosition) IsZero() bool {
	return p == WALPosition{}
}

// Later reports whether p is after q, comparing terms first and then offsets. It ignores the switch points of terms.
func (p WALPosition) Later(q WALPosition) bool {
	if p.Term != q.Term {
		return p.Term > q.Term
	}

	return p.Offset > q.Offset
}

// TermStart is the start of a primary term. Offset is the switch point: the end of the previous term in the log.
type TermStart struct {
	Term   PrimaryTerm `json:"term"   msgpack:"t"`
	Offset uint64      `json:"offset" msgpack:"o"` // offset in the write-ahead log in bytes
}

// TermHistory lists the primary terms of one database in ascending order with their switch points.
type TermHistory []TermStart

// Clamp returns p with its offset limited to the switch point at which the next term starts. The log of p's term after
// that switch point was abandoned at the failover.
func (h TermHistory) Clamp(p WALPosition) WALPosition {
	for _, t := range h {
		if t.Term > p.Term {
			if p.Offset > t.Offset {
				p.Offset = t.Offset
			}

			return p
		}
	}

	return p
}

// Covers reports whether a member whose WAL is replayed up to the position replayed has all changes up to minimum. If
// the history does not yet have the term of minimum, only a member in that same term covers minimum, because a member
// in an older term may have diverged.
func (h TermHistory) Covers(replayed, minimum WALPosition) bool {
	minimum = h.Clamp(minimum)
	if replayed.Term >= minimum.Term {
		return replayed.Offset >= minimum.Offset
	}

	if len(h) == 0 || minimum.Term > h[len(h)-1].Term {
		return false
	}

	return h.Clamp(replayed) == replayed && replayed.Offset >= minimum.Offset
}

// Contains reports whether p is part of the history, that is, a member at p has not diverged.
func (h TermHistory) Contains(p WALPosition) bool {
	return h.Clamp(p) == p
}
