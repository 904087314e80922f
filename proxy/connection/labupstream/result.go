package labupstream

// Result tells how a unit ended on the upstream.
type Result struct {
	Status            byte   // transaction status of the unit's ReadyForQuery
	SQLState          string // SQLSTATE of the unit's error, if it ended with one
	CommandTag        string // tag of the last CommandComplete
	CompletedCommands int    // commands that completed
	Committed         bool   // a command ended a transaction with COMMIT or PREPARE TRANSACTION
	Withheld          []byte // last part of the answer, not passed on
	HasPosition       bool   // Position is set
	Position          Position
	Sent              bool // at least one byte of the unit was sent
	Forwarded         bool // part of the answer was passed on
}
