package labupstream

// Ended tells how a unit ended on the upstream.
type Ended struct {
	Status     byte   // transaction status of the unit's ReadyForQuery
	Code       string // SQLSTATE of the unit's error, if it ended with one
	Tag        string // tag of the last CommandComplete
	Completed  int    // commands that completed
	Committed  bool   // a command ended a transaction with COMMIT or PREPARE TRANSACTION
	Held       []byte // last part of the answer, not passed on
	Positioned bool   // Position is set
	Position   Position
	Sent       bool // at least one byte of the unit was sent
	Passed     bool // part of the answer was passed on
}
