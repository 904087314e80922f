package labstatement

import "strings"

// maxLeadingWords is the number of leading words that the classification needs.
const maxLeadingWords = 4

// features are the properties that the scan of one statement has found.
type features struct {
	leadingWords       [maxLeadingWords]string // first words of the statement, in lower case
	wordCount          int                     // number of leading words found so far; maxLeadingWords after the last one
	afterFirstWord     int                     // byte offset, in the statement, of the end of the first word
	modifies           bool                    // contains a word or a call that changes data or takes locks
	analyzes           bool                    // contains ANALYZE, which makes EXPLAIN execute the explained statement
	mayHaveSideEffects bool                    // calls a function that is not known to be free of side effects
	usesSessionState   bool                    // calls a function that changes or reads session state
	sessionCall        string                  // name of the last called function that is in sessionCalls
	unterminated       bool                    // ends within a quote or a comment
	needsPrimary       bool                    // contains SERIALIZABLE or READ WRITE, which a replica refuses
	readOnly           bool                    // contains READ ONLY
}

// parseStatement classifies the next statement of the text and reports whether more statements may follow it. The
// statement is empty if nothing precedes the next semicolon or the end of the text.
func parseStatement(c *scanner) (Statement, bool) {
	c.ambiguous = false

	var f features

	var previous, last token // the two tokens before t

	start := -1

	for {
		t := c.next()
		if t.kind == endOfText || t.isSymbol(';') || t.kind == unterminated {
			f.unterminated = t.kind == unterminated
			if start < 0 && !f.unterminated {
				return Statement{}, t.kind != endOfText
			}

			if start < 0 {
				start = 0
			}

			text := strings.TrimSpace(c.text[start:t.start])

			return f.newStatement(text, c.ambiguous), t.isSymbol(';')
		}

		if start < 0 {
			start = t.start
			f.afterFirstWord = c.offset - t.start
		}

		f.addToken(previous, last, t)
		previous, last = last, t
	}
}

func (f *features) addToken(previous, last, t token) {
	if t.isSymbol('(') && (last.kind == word || last.kind == quoted) {
		f.addCall(previous, last)
	}

	w := t.keyword()
	if w == "" {
		if f.wordCount > 0 && f.wordCount < maxLeadingWords {
			f.wordCount = maxLeadingWords // the leading words end at the first token that is not a word
		}

		return
	}

	if f.wordCount < maxLeadingWords {
		f.leadingWords[f.wordCount] = w
		f.wordCount++
	}

	switch w {
	case "into", "insert", "update", "delete", "merge":
		f.modifies = true
	case "share", "no", "key":
		f.modifies = f.modifies || last.keyword() == "for"
	case "analyze", "analyse": //nolint:misspell // keywords
		f.analyzes = true
	case "serializable", "write":
		f.needsPrimary = true
	case "only":
		f.readOnly = f.readOnly || last.keyword() == "read"
	}
}

func (f *features) addCall(previous, last token) {
	name := last.identifier()
	if last.kind == quoted {
		name = strings.ToLower(name)
	}

	if sessionCalls[name] {
		f.sessionCall = name
	}

	switch {
	case isDenied(name):
		f.modifies, f.usesSessionState = true, true
	case last.kind == word && sideEffectFreeNames[name] && !previous.isSymbol('.'):
	default:
		f.mayHaveSideEffects = true
	}
}

func (f *features) newStatement(text string, ambiguous bool) Statement {
	s := Statement{text: text, sessionCall: f.sessionCall}
	if f.unterminated {
		return s
	}

	s.kind, s.keepsSession = f.classify()
	if s.kind == Set {
		setting, ok := parseSetting(text[f.afterFirstWord:], f.leadingWords[0] == "reset")
		if !ok {
			// SET TRANSACTION and SET CONSTRAINTS change only the transaction.
			return Statement{text: text, kind: Other, keepsSession: true}
		}

		s.setting = setting
	}

	if s.kind == Read && (f.modifies || ambiguous) {
		s.kind = Write
		s.keepsSession = !f.usesSessionState && !ambiguous
	}

	if s.kind == Write && f.usesSessionState {
		s.keepsSession = false
	}

	s.sideEffectFree = s.kind == Read && !f.mayHaveSideEffects

	return s
}

// classify returns the kind according to the leading words, and whether the statement leaves the upstream session
// unchanged.
func (f *features) classify() (kind Kind, keepsSession bool) {
	switch f.leadingWords[0] {
	case "select", "values", "table", "with", "":
		return Read, true
	case "show":
		return f.classifyShow(), true
	case "explain":
		if f.analyzes {
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

	return f.classifyOther()
}

func (f *features) classifyShow() Kind {
	switch f.leadingWords[1] {
	case "transaction_read_only", "default_transaction_read_only", "in_hot_standby":
		return Other // not a read: clients use these parameters to find out whether they are connected to a primary
	}

	return Read
}

func (f *features) classifyOther() (kind Kind, keepsSession bool) {
	switch f.leadingWords[0] {
	case "begin":
		return f.classifyBegin(), true
	case "start":
		if f.leadingWords[1] == "transaction" {
			return f.classifyBegin(), true
		}
	case "commit", "end":
		if f.leadingWords[1] == "prepared" {
			return Write, true
		}

		return Commit, true
	case "rollback", "abort":
		return f.classifyRollback(), true
	case "savepoint", "release", "lock", "fetch", "move", "close", "notify":
		return Other, true
	case "truncate", "comment", "grant", "revoke", "vacuum", "reindex", "cluster", "refresh", "drop", "alter",
		"analyze": //nolint:misspell // keyword
		return Write, true
	}

	return Other, false
}

func (f *features) classifyBegin() Kind {
	if f.readOnly && !f.needsPrimary {
		return BeginReadOnly
	}

	return Begin
}

func (f *features) classifyRollback() Kind {
	for _, w := range f.leadingWords[1:3] {
		switch w {
		case "prepared":
			return Write
		case "to":
			return Other
		}
	}

	return Rollback
}
