package labtoken

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab"
)

// Token is the content of a session token. It is immutable: Raise and Merge return a new Token.
type Token struct {
	sessionID    string
	minPositions []minPosition // sorted by database; usually one entry, for which a map takes several times the memory
}

type minPosition struct {
	database string
	position lab.WALPosition
}

// New returns a token without minimum positions for the session with the given ID.
func New(session string) Token {
	return Token{sessionID: session}
}

// SessionID returns the ID of the session.
func (t Token) SessionID() string {
	return t.sessionID
}

// MinPosition returns the minimum position of a database, or zero when there is none.
func (t Token) MinPosition(database string) lab.WALPosition {
	if i, ok := t.find(database); ok {
		return t.minPositions[i].position
	}

	return lab.WALPosition{}
}

func (t Token) find(database string) (index int, found bool) {
	return slices.BinarySearchFunc(t.minPositions, database, func(m minPosition, name string) int {
		return strings.Compare(m.database, name)
	})
}

// Raise returns the token with the minimum position of a database raised to at least position, and whether it changed.
//
// For the comparison, a position of an older term is limited to the position at which, according to history, that term
// ended: WAL beyond it was abandoned in a failover. Without a history, positions are compared by term and offset.
func (t Token) Raise(database string, position lab.WALPosition, history lab.TermHistory) (raised Token, changed bool) {
	current := t.MinPosition(database)
	if position.IsZero() || !later(position, current, history) {
		return t, false
	}

	return t.withMinPosition(database, position), true
}

func (t Token) withMinPosition(database string, position lab.WALPosition) Token {
	raised := minPosition{database: database, position: position}

	i, found := t.find(database)
	if !found {
		return Token{sessionID: t.sessionID, minPositions: slices.Insert(slices.Clip(t.minPositions), i, raised)}
	}

	positions := slices.Clone(t.minPositions)
	positions[i] = raised

	return Token{sessionID: t.sessionID, minPositions: positions}
}

// Merge returns the token with its minimum positions raised to at least those of other.
func (t Token) Merge(other Token, history func(database string) lab.TermHistory) Token {
	for _, m := range other.minPositions {
		t, _ = t.Raise(m.database, m.position, history(m.database))
	}

	return t
}

// later reports whether position is later than current, after limiting both to the WAL that survived into the latest
// term.
func later(position, current lab.WALPosition, history lab.TermHistory) bool {
	p, c := history.Clamp(position), history.Clamp(current)
	if p.Offset != c.Offset && len(history) > 0 {
		return p.Offset > c.Offset
	}

	return p.Later(c)
}
