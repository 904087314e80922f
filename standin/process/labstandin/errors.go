package labstandin

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// errClosed ends a session whose connection was closed by its client, by an injected fault or because the group stops.
var errClosed = errors.New("connection closed")

// sqlError is an error that the client receives as an ErrorResponse.
type sqlError struct {
	code    string // SQLSTATE
	message string
}

// Error returns the message without the SQLSTATE.
func (e *sqlError) Error() string {
	return e.message
}

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message,
	}
}

var (
	errUniqueViolation    = &sqlError{"23505", "duplicate key value violates unique constraint"}
	errReadOnly           = &sqlError{"25006", "cannot execute a write in a read-only transaction"}
	errTransactionAborted = &sqlError{
		"25P02", "current transaction is aborted, commands ignored until end of transaction block",
	}
	errCancelled           = &sqlError{"57014", "canceling statement due to user request"}
	errTooManyConnections  = &sqlError{"53300", "sorry, too many clients already"}
	errWrongPassword       = &sqlError{"28P01", "password authentication failed"}
	errNoDatabase          = &sqlError{"3D000", "database does not exist"}
	errProtocolViolation   = &sqlError{"08P01", "protocol violation"}
	errNoPreparedStatement = &sqlError{"26000", "prepared statement does not exist"}
	errNoPortal            = &sqlError{"34000", "portal does not exist"}
	errDuplicateStatement  = &sqlError{"42P05", "prepared statement already exists"}
	errInTransactionBlock  = &sqlError{"25001", "DISCARD ALL cannot run inside a transaction block"}
	errInvalidParameter    = &sqlError{"22P02", "invalid input syntax for parameter"}
	errUnknownSetting      = &sqlError{"42704", "unknown configuration parameter"}
	errAlreadyPrimary      = &sqlError{"55000", "recovery is not in progress"}
)
