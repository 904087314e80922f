package labsession

import (
	"strings"
	"unicode/utf8"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// separator ends a statement within a text, even one that ends in a line comment.
const separator = "\n;\n"

// unit is a group of caller messages that is run at once.
type unit struct {
	simple   bool
	text     string // of a simple query
	messages []byte // rewritten extended messages
	steps    []step // answers to expect
	refers   []lab.PreparedStatement
	executes []labstatement.Statement // of known statements
	executed int                      // Execute messages, also of portals bound by an earlier unit
	portals  map[string]*statement
	inline   map[string]string     // upstream names of statements parsed after an Execute of this unit
	parsed   map[string]*statement // statements created by this unit, by the caller's name
	tags     labstatement.Tags     // of executed statements
	refTags  labstatement.Tags     // of all statements referred to
	fault    *failure              // found before running; the unit is answered with it
}

// reads reports whether the unit runs nothing but reads, and SET, which the upstream only checks.
func (u *unit) reads() bool {
	for _, e := range u.executes {
		if e.Kind() != labstatement.Read && e.Kind() != labstatement.Set {
			return false
		}
	}

	return len(u.executes) == u.executed && (!u.simple || u.executed < 2)
}

// pure reports whether running the unit twice has the effect of running it once.
func (u *unit) pure() bool {
	for _, e := range u.executes {
		if !e.Pure() {
			return false
		}
	}

	return u.reads()
}

func (u *unit) changes() bool {
	for _, e := range u.executes {
		if e.Changes() {
			return true
		}
	}

	return false
}

// ends reports whether the unit consists of a statement that ends the transaction.
func (u *unit) ends(kinds ...labstatement.Kind) bool {
	if len(u.executes) != 1 {
		return false
	}

	for _, k := range kinds {
		if u.executes[0].Kind() == k {
			return true
		}
	}

	return false
}

// replica reports whether the transaction that the unit opens can run on a replica.
func (u *unit) replica(b *block) bool {
	if b.begin != "" {
		return b.readOnly
	}

	if len(u.executes) > 0 && u.executes[0].Kind() == labstatement.BeginReadOnly {
		return !u.simple || len(u.executes) == 1
	}

	return u.reads()
}

// refer lists a statement that the unit uses.
func (u *unit) refer(s *statement) {
	u.refTags.Add(s.text.Tags())

	for _, r := range u.refers {
		if r.Name == s.name {
			return
		}
	}

	u.refers = append(u.refers, s.wire())
}

// prefixed puts statements before the unit whose answers the caller does not get.
func (u *unit) prefixed(texts []string) *unit {
	if len(texts) == 0 {
		return u
	}

	p := *u

	if u.simple {
		p.text = strings.Join(texts, separator) + separator + u.text
		p.steps = append(hidden(len(texts)), u.steps...)

		return &p
	}

	p.messages = nil
	for _, t := range texts {
		p.messages = labframe.Append(p.messages, typeParse, []byte{0}, []byte(t), []byte{0, 0, 0})
		p.messages = labframe.Append(p.messages, typeBind, []byte{0, 0, 0, 0, 0, 0, 0, 0})
		p.messages = labframe.Append(p.messages, typeExecute, []byte{0, 0, 0, 0, 0})
	}

	p.messages = append(p.messages, u.messages...)
	p.steps = append(hidden(len(texts)), u.steps...)

	return &p
}

// shift is the number of characters that prefixed put before the text.
func (u *unit) shift(original *unit) int {
	return utf8.RuneCountInString(u.text) - utf8.RuneCountInString(original.text)
}

// wire returns the unit as the gateway gets it.
func (u *unit) wire(changes bool) lab.MessageBatch {
	w := lab.MessageBatch{ReadOnly: u.reads(), ChangesSession: changes || u.changes(), SimpleQuery: u.simple, Statements: u.refers}
	if u.simple {
		w.Messages = labframe.Append(nil, typeQuery, []byte(u.text), []byte{0})
	} else {
		w.Messages = labframe.Append(u.messages, typeSync)
	}

	return w
}
