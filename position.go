package lab

import "fmt"

// Term numbers the reign of one primary of a database; it is the PostgreSQL timeline.
type Term uint32

// Position is a place in a database's write-ahead log.
type Position struct {
	Term   Term   `json:"term"   msgpack:"t"`
	Offset uint64 `json:"offset" msgpack:"o"` // bytes
}

// String formats the position as term/offset in hexadecimal.
func (p Position) String() string {
	return fmt.Sprintf("%d/%X", p.Term, p.Offset)
}

// IsZero reports whether the position is unset.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Later reports whether p sorts after q by term, then offset; it ignores the switch points of terms.
func (p Position) Later(q Position) bool {
	if p.Term != q.Term {
		return p.Term > q.Term
	}

	return p.Offset > q.Offset
}

// TermStart records that a term began at an offset, the switch point from the term before it.
type TermStart struct {
	Term   Term   `json:"term"   msgpack:"t"`
	Offset uint64 `json:"offset" msgpack:"o"` // bytes
}

// History lists the terms of one database in ascending order with their switch points.
type History []TermStart

// Clamp returns the part of p that survived into the last term of the history: a position past the switch point of
// its own term lies on an abandoned tail and is cut back to the switch point.
func (h History) Clamp(p Position) Position {
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
func (h History) Covers(have, floor Position) bool {
	floor = h.Clamp(floor)
	if have.Term >= floor.Term {
		return have.Offset >= floor.Offset
	}

	if len(h) == 0 || floor.Term > h[len(h)-1].Term {
		return false
	}

	return h.Clamp(have) == have && have.Offset >= floor.Offset
}

// Fits reports whether a member at position p follows the history, that is, has no divergent tail.
func (h History) Fits(p Position) bool {
	return h.Clamp(p) == p
}
