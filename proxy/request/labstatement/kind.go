package labstatement

// Kind says what a statement does, as far as routing needs to know.
type Kind uint8

// The kinds of statement.
const (
	Other         Kind = iota // anything else, including session state that can't be pooled
	Read                      // changes nothing
	Write                     // may change data
	Begin                     // starts a transaction that may write
	BeginReadOnly             // starts a transaction that a replica can run
	Commit                    // ends a transaction, also END and AND CHAIN
	Rollback                  // ends a transaction, not ROLLBACK TO
	Set                       // SET or RESET of a parameter
	Discard                   // DISCARD and DEALLOCATE
	Copy                      // COPY
	Listen                    // LISTEN
)

// String names the kind.
func (k Kind) String() string {
	names := [...]string{
		"other", "read", "write", "begin", "begin_read_only", "commit", "rollback", "set", "discard", "copy", "listen",
	}
	if int(k) < len(names) {
		return names[k]
	}

	return names[Other]
}
