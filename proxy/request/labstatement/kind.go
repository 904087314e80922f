package labstatement

// Kind is the kind of a statement. It distinguishes only what decides how a session handles and routes the statement.
type Kind uint8

// The kinds of statement.
const (
	Other         Kind = iota // any other statement, including statements that use the state of one upstream session
	Read                      // changes nothing
	Write                     // may change data
	Begin                     // starts a transaction that may write
	BeginReadOnly             // starts a transaction that a replica can run
	Commit                    // COMMIT or END, also with AND CHAIN
	Rollback                  // ROLLBACK or ABORT, but not ROLLBACK TO SAVEPOINT
	Set                       // SET or RESET of a parameter
	Discard                   // DISCARD or DEALLOCATE
	Copy                      // COPY
	Listen                    // LISTEN
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	names := [...]string{
		"other", "read", "write", "begin", "begin_read_only", "commit", "rollback", "set", "discard", "copy", "listen",
	}
	if int(k) < len(names) {
		return names[k]
	}

	return names[Other]
}
