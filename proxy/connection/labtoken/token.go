package labtoken

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab"
)

// Token is the content of a session token; a Token is not changed after it is shared.
type Token struct {
	session string
	floors  []floor // by database; a map would take several times the memory for the usual single entry
}

type floor struct {
	database string
	position lab.WALPosition
}

// New returns a token of a session without floors.
func New(session string) Token {
	return Token{session: session}
}

// Session returns the session's id.
func (t Token) Session() string {
	return t.session
}

// Floor returns the floor of a database, zero when there is none.
func (t Token) Floor(database string) lab.WALPosition {
	if i, ok := t.find(database); ok {
		return t.floors[i].position
	}

	return lab.WALPosition{}
}

func (t Token) find(database string) (index int, found bool) {
	return slices.BinarySearchFunc(t.floors, database, func(f floor, name string) int {
		return strings.Compare(f.database, name)
	})
}

// Raise returns the token with the floor of a database raised to at least position. A floor of an older term is first
// cut back to its term's switch point in history; with an empty history the later position by term and offset wins.
func (t Token) Raise(database string, position lab.WALPosition, history lab.TermHistory) (raised Token, changed bool) {
	have := t.Floor(database)
	if position.IsZero() || !higher(position, have, history) {
		return t, false
	}

	return t.with(database, position), true
}

func (t Token) with(database string, position lab.WALPosition) Token {
	f := floor{database: database, position: position}

	i, found := t.find(database)
	if !found {
		return Token{session: t.session, floors: slices.Insert(slices.Clip(t.floors), i, f)}
	}

	floors := slices.Clone(t.floors)
	floors[i] = f

	return Token{session: t.session, floors: floors}
}

// Merge returns the token with every floor of other merged in.
func (t Token) Merge(other Token, history func(database string) lab.TermHistory) Token {
	for _, f := range other.floors {
		t, _ = t.Raise(f.database, f.position, history(f.database))
	}

	return t
}

// higher compares two positions after cutting both back to the part that survived into the last term.
func higher(position, have lab.WALPosition, history lab.TermHistory) bool {
	p, h := history.Clamp(position), history.Clamp(have)
	if p.Offset != h.Offset && len(history) > 0 {
		return p.Offset > h.Offset
	}

	return p.Later(h)
}
