package labstatement

// Statement is the classification of one statement of a text.
type Statement struct {
	kind           Kind
	sideEffectFree bool
	keepsSession   bool
	text           string
	sessionCall    string
	setting        Setting
}

// Kind returns the kind of the statement.
func (s Statement) Kind() Kind {
	return s.kind
}

// IsSideEffectFree reports whether the statement is a read that calls only functions known to have no side effects.
// Such a statement may be executed again when the outcome of the first execution is unknown.
func (s Statement) IsSideEffectFree() bool {
	return s.sideEffectFree
}

// ChangesSession reports whether the statement may change the state of the upstream session.
func (s Statement) ChangesSession() bool {
	return !s.keepsSession
}

// SessionCall returns the name of a called built-in function that serves to change the upstream session: set_config, or
// a function that takes a session-level advisory lock. It is empty if the statement calls no such function.
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
