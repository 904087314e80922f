package labstatement

// Statement is one statement of a text.
type Statement struct {
	kind         Kind
	pure         bool
	keepsSession bool
	text         string
	sessionCall  string
	setting      Setting
}

// Kind returns what the statement does.
func (s Statement) Kind() Kind {
	return s.kind
}

// Pure reports whether the statement is a read that calls only functions known to change nothing, so that running it
// twice has the effect of running it once.
func (s Statement) Pure() bool {
	return s.pure
}

// ChangesSession reports whether the statement may leave state behind in the upstream session.
func (s Statement) ChangesSession() bool {
	return !s.keepsSession
}

// SessionCall returns the name of a called built-in function whose purpose is to change the upstream session: one that
// takes a session-level advisory lock, or set_config. It is empty when there is none.
func (s Statement) SessionCall() string {
	return s.sessionCall
}

// Text returns the statement without its semicolon.
func (s Statement) Text() string {
	return s.text
}

// Setting returns the parameter change of a statement of kind Set.
func (s Statement) Setting() Setting {
	return s.setting
}
