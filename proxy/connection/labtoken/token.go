package labtoken

import (
	"maps"

	"laburnumlock.dev/lab"
)

// Token is the content of a session token; a Token is not changed after it is shared.
type Token struct {
	session string
	floors  map[string]lab.Position
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
func (t Token) Floor(database string) lab.Position {
	return t.floors[database]
}

// Raise returns the token with the floor of a database raised to at least position. A floor of an older term is first
// cut back to its term's switch point in history; with an empty history the later position by term and offset wins.
func (t Token) Raise(database string, position lab.Position, history lab.History) (raised Token, changed bool) {
	have := t.floors[database]
	if position.IsZero() || !higher(position, have, history) {
		return t, false
	}

	floors := maps.Clone(t.floors)
	if floors == nil {
		floors = make(map[string]lab.Position, 1)
	}

	floors[database] = position

	return Token{session: t.session, floors: floors}, true
}

// Merge returns the token with every floor of other merged in.
func (t Token) Merge(other Token, history func(database string) lab.History) Token {
	for d, p := range other.floors {
		t, _ = t.Raise(d, p, history(d))
	}

	return t
}

// higher compares two positions after cutting both back to the part that survived into the last term.
func higher(position, have lab.Position, history lab.History) bool {
	p, h := history.Clamp(position), history.Clamp(have)
	if p.Offset != h.Offset && len(history) > 0 {
		return p.Offset > h.Offset
	}

	return p.Later(h)
}
