package labtoken

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab"
)

// Token is the content of a session token; a Token is not changed after it is shared.
type Token struct {
	sessionID    string
	minPositions []minPosition // by database; a map would take several times the memory for the usual single entry
}

type minPosition struct {
	database string
	position lab.Position
}

// New returns a token of a session without floors.
func New(session string) Token {
	return Token{sessionID: session}
}

// SessionID returns the session's id.
func (t Token) SessionID() string {
	return t.sessionID
}

// MinPosition returns the floor of a database, zero when there is none.
func (t Token) MinPosition(database string) lab.Position {
	if i, ok := t.find(database); ok {
		return t.minPositions[i].position
	}

	return lab.Position{}
}

func (t Token) find(database string) (index int, found bool) {
	return slices.BinarySearchFunc(t.minPositions, database, func(f minPosition, name string) int {
		return strings.Compare(f.database, name)
	})
}

// Raise returns the token with the floor of a database raised to at least position. A floor of an older term is first
// cut back to its term's switch point in history; with an empty history the later position by term and offset wins.
func (t Token) Raise(database string, position lab.Position, history lab.History) (raised Token, changed bool) {
	current := t.MinPosition(database)
	if position.IsZero() || !later(position, current, history) {
		return t, false
	}

	return t.withMinPosition(database, position), true
}

func (t Token) withMinPosition(database string, position lab.Position) Token {
	f := minPosition{database: database, position: position}

	i, found := t.find(database)
	if !found {
		return Token{sessionID: t.sessionID, minPositions: slices.Insert(slices.Clip(t.minPositions), i, f)}
	}

	positions := slices.Clone(t.minPositions)
	positions[i] = f

	return Token{sessionID: t.sessionID, minPositions: positions}
}

// Merge returns the token with every floor of other merged in.
func (t Token) Merge(other Token, history func(database string) lab.History) Token {
	for _, f := range other.minPositions {
		t, _ = t.Raise(f.database, f.position, history(f.database))
	}

	return t
}

// later compares two positions after cutting both back to the part that survived into the last term.
func later(position, current lab.Position, history lab.History) bool {
	p, h := history.Clamp(position), history.Clamp(current)
	if p.Offset != h.Offset && len(history) > 0 {
		return p.Offset > h.Offset
	}

	return p.Later(h)
}
