package labupstream

// Result tells how a batch ended on the upstream. Forwarded means written to the response writer that was given to Run.
type Result struct {
	Status            byte   // transaction status in the ReadyForQuery of the batch
	SQLState          string // SQLSTATE of the first error, empty if there was none
	CommandTag        string // tag of the last CommandComplete
	CompletedCommands int    // number of CommandComplete messages
	Committed         bool   // a command completed with the tag COMMIT or PREPARE TRANSACTION
	Withheld          []byte // last part of the response, not yet forwarded
	HasPosition       bool   // the position query succeeded and Position is set
	Position          Position
	Sent              bool // at least one byte was sent
	Forwarded         bool // a part of the response was forwarded
}
