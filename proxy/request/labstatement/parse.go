package labstatement

import "strings"

// headSize is the number of leading words that classification looks at.
const headSize = 4

// features are what a scan found in one statement.
type features struct {
	head    [headSize]string
	words   int
	rest    int    // offset after the first word
	changes bool   // a word or call that changes data or takes locks
	runs    bool   // EXPLAIN that runs its statement
	unknown bool   // calls a function that is not known to be pure
	session bool   // calls a function that changes or reads session state
	named   string // the last sessionCalls function called
	broken  bool
	serial  bool // SERIALIZABLE or READ WRITE, which a replica refuses
	only    bool // READ ONLY
}

func parseStatement(c *scanner) (Statement, bool) {
	c.escapes = false

	var f features

	var before, last token // the two tokens before t

	start := -1

	for {
		t := c.next()
		if t.kind == end || t.is(';') || t.kind == broken {
			f.broken = t.kind == broken
			if start < 0 && !f.broken {
				return Statement{}, t.kind != end
			}

			if start < 0 {
				start = 0
			}

			text := strings.TrimSpace(c.text[start:t.start])

			return f.statement(text, c.escapes), t.is(';')
		}

		if start < 0 {
			start = t.start
			f.rest = c.at - t.start
		}

		f.add(before, last, t)
		before, last = last, t
	}
}

func (f *features) add(before, last, t token) {
	if t.is('(') && (last.kind == word || last.kind == quoted) {
		f.call(before, last)
	}

	w := t.lower()
	if w == "" {
		if f.words > 0 && f.words < headSize {
			f.words = headSize // only words that directly follow one another
		}

		return
	}

	if f.words < headSize {
		f.head[f.words] = w
		f.words++
	}

	switch w {
	case "into", "insert", "update", "delete", "merge":
		f.changes = true
	case "share", "no", "key":
		f.changes = f.changes || last.lower() == "for"
	case "analyze", "analyse": //nolint:misspell // keywords
		f.runs = true
	case "serializable", "write":
		f.serial = true
	case "only":
		f.only = f.only || last.lower() == "read"
	}
}

func (f *features) call(before, last token) {
	name := last.name()
	if last.kind == quoted {
		name = strings.ToLower(name)
	}

	if sessionCalls[name] {
		f.named = name
	}

	switch {
	case denied(name):
		f.changes, f.session = true, true
	case last.kind == word && pureFunctions[name] && !before.is('.'):
	default:
		f.unknown = true
	}
}

func (f *features) statement(text string, escapes bool) Statement {
	s := Statement{text: text, call: f.named}
	if f.broken {
		return s
	}

	s.kind, s.keeps = f.classify()
	if s.kind == Set {
		setting, ok := parseSetting(text[f.rest:], f.head[0] == "reset")
		if !ok {
			return Statement{text: text, kind: Other, keeps: true} // of the transaction only
		}

		s.setting = setting
	}

	if s.kind == Read && (f.changes || escapes) {
		s.kind = Write
		s.keeps = !f.session && !escapes
	}

	if s.kind == Write && f.session {
		s.keeps = false
	}

	s.pure = s.kind == Read && !f.unknown

	return s
}

// classify returns the kind by the leading words, and whether the statement keeps the upstream session as it is.
func (f *features) classify() (kind Kind, keeps bool) {
	switch f.head[0] {
	case "select", "values", "table", "with", "":
		return Read, true
	case "show":
		return f.show(), true
	case "explain":
		if f.runs {
			return Write, true
		}

		return Read, true
	case "insert", "update", "delete", "merge":
		return Write, true
	case "copy":
		return Copy, false
	case "listen":
		return Listen, false
	case "set", "reset":
		return Set, false
	case "discard", "deallocate":
		return Discard, false
	}

	return f.control()
}

func (f *features) show() Kind {
	switch f.head[1] {
	case "transaction_read_only", "default_transaction_read_only", "in_hot_standby":
		return Other // clients ask these to find out whether they reached a primary
	}

	return Read
}

func (f *features) control() (kind Kind, keeps bool) {
	switch f.head[0] {
	case "begin":
		return f.begin(), true
	case "start":
		if f.head[1] == "transaction" {
			return f.begin(), true
		}
	case "commit", "end":
		if f.head[1] == "prepared" {
			return Write, true
		}

		return Commit, true
	case "rollback", "abort":
		return f.rollback(), true
	case "savepoint", "release", "lock", "fetch", "move", "close", "notify":
		return Other, true
	case "truncate", "comment", "grant", "revoke", "vacuum", "reindex", "cluster", "refresh", "drop", "alter",
		"analyze": //nolint:misspell // keyword
		return Write, true
	}

	return Other, false
}

func (f *features) begin() Kind {
	if f.only && !f.serial {
		return BeginReadOnly
	}

	return Begin
}

func (f *features) rollback() Kind {
	for _, w := range f.head[1:3] {
		switch w {
		case "prepared":
			return Write
		case "to":
			return Other
		}
	}

	return Rollback
}
