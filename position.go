package lab

import "fmt"

// PrimaryTerm numbers the reign of one primary of a database; it is the PostgreSQL timeline.
type PrimaryTerm uint32

// WALPosition is a place in a database's write-ahead log.
type WALPosition struct {
	Term   PrimaryTerm `json:"term"   msgpack:"t"`
	Offset uint64      `json:"offset" msgpack:"o"` // bytes
}

// String formats the position as term/offset in hexadecimal.
func (p WALPosition) String() string {
	return fmt.Sprintf("%d/%X", p.Term, p.Offset)
}

// IsZero reports whether the position is unset.
func (p WALPosition) IsZero() bool {
	return p == WALPosition{}
}

// Later reports whether p sorts after q by term, then offset; it ignores the switch points of terms.
func (p WALPosition) Later(q WALPosition) bool {
	if p.Term != q.Term {
		return p.Term > q.Term
	}

	return p.Offset > q.Offset
}

// TermStart records that a term began at an offset, the switch point from the term before it.
type TermStart struct {
	Term   PrimaryTerm `json:"term"   msgpack:"t"`
	Offset uint64      `json:"offset" msgpack:"o"` // bytes
}

// TermHistory lists the terms of one database in ascending order with their switch points.
type TermHistory []TermStart

// Clamp returns the part of p that survived into the last term of the history: a position past the switch point of
// its own term lies on an abandoned tail and is cut back to the switch point.
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

// Covers reports whether a member at position have contains everything up to floor. A floor of a term that the history
// does not have yet is covered only by a position of that same term, since any older member may have a divergent tail.
func (h TermHistory) Covers(have, floor WALPosition) bool {
	floor = h.Clamp(floor)
	if have.Term >= floor.Term {
		return have.Offset >= floor.Offset
	}

	if len(h) == 0 || floor.Term > h[len(h)-1].Term {
		return false
	}

	return h.Clamp(have) == have && have.Offset >= floor.Offset
}

// Contains reports whether a member at position p follows the history, that is, has no divergent tail.
func (h TermHistory) Contains(p WALPosition) bool {
	return h.Clamp(p) == p
}
