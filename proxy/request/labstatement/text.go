package labstatement

// Text is the classification of one SQL text.
type Text struct {
	statements []Statement
	tags       Tags
}

// Parse classifies a text. It returns an error only for invalid tags. A statement with an unterminated quote or comment
// is of kind Other.
func Parse(text string) (Text, error) {
	var t Text

	var firstErr error

	c := scanner{text: text, onComment: func(body string) {
		if err := t.tags.addComment(body); err != nil && firstErr == nil {
			firstErr = err
		}
	}}
	for {
		s, more := parseStatement(&c)
		if s.text != "" {
			t.statements = append(t.statements, s)
		}

		if !more {
			return t, firstErr
		}
	}
}

// Tags returns the tags in the comments of the text.
func (t Text) Tags() Tags {
	return t.tags
}

// Statements returns the statements in order, without empty ones.
func (t Text) Statements() []Statement {
	return t.statements
}

// Single returns the only statement of the text, or false if the text has no statement or several.
func (t Text) Single() (Statement, bool) {
	if len(t.statements) != 1 {
		return Statement{}, false
	}

	return t.statements[0], true
}

// IsRead reports whether the text is empty or consists of a single read. A text of several statements is never a read.
func (t Text) IsRead() bool {
	return len(t.statements) == 0 || len(t.statements) == 1 && t.statements[0].kind == Read
}

// IsSideEffectFree reports whether the text is empty or consists of a single read for which
// Statement.IsSideEffectFree is true.
func (t Text) IsSideEffectFree() bool {
	return t.IsRead() && (len(t.statements) == 0 || t.statements[0].sideEffectFree)
}

// ChangesSession reports whether a statement of the text may change the state of the upstream session.
func (t Text) ChangesSession() bool {
	for _, s := range t.statements {
		if s.ChangesSession() {
			return true
		}
	}

	return false
}
