package labsession

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// SQLSTATEs that a session reports or evaluates itself.
const (
	codeProtocolViolation  = "08P01"
	codeNotSupported       = "0A000"
	codeInvalidParameter   = "22023"
	codeActiveTransaction  = "25001"
	codeReadOnly           = "25006"
	codeNoTransaction      = "25P01"
	codeFailedTransaction  = "25P02"
	codeNoStatement        = "26000"
	codeInvalidAuth        = "28000"
	codeInvalidPassword    = "28P01"
	codeNoDatabase         = "3D000"
	codeDuplicateStatement = "42P05"
	codeProgramLimit       = "54000"
	codeNotInState         = "55000"
	codeCancelled          = "57014"
	codeShutdown           = "57P01"
	codeTooManyConnections = "53300"
	codeCannotConnectNow   = "57P03"
)

// failure is an error reported to the client.
type failure struct {
	code    string
	message string
	hint    string
}

func (f *failure) encode(severity string) []byte {
	return encode(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.code, Message: f.message, Hint: f.hint,
	})
}

func (f *failure) fatal() []byte {
	return f.encode("FATAL")
}

func encode(m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(nil)
	if err != nil { // a string contains a zero byte, or the message exceeds 1 GiB
		return labframe.Append(nil, typeErrorResponse, []byte("SERROR\x00CXX000\x00Mresponse can't be encoded\x00\x00"))
	}

	return out
}

var (
	errShutdown = &failure{
		codeShutdown, "terminating connection due to administrator command",
		"connect again to reach another proxy; the session was not in a transaction",
	}
	errNoCatalog = &failure{
		codeCannotConnectNow, "the proxy has not received its configuration yet",
		"try again, or connect to another proxy",
	}
	errTooMuchPending = &failure{
		codeProgramLimit, "too much data sent without reading the responses",
		"read responses before sending more requests",
	}
	errMessageType     = &failure{codeProtocolViolation, "invalid frontend message type", ""}
	errQueryBeforeSync = &failure{
		codeProtocolViolation, "a Query message arrived before Sync",
		"end a sequence of extended-protocol messages with Sync",
	}
	errFunctionCall = &failure{
		codeNotSupported, "function call messages are not supported",
		"call the function with SELECT",
	}
	errCopy = &failure{
		codeNotSupported, "COPY is not supported through the proxy",
		"use INSERT with several rows, or connect to the database directly",
	}
	errListen = &failure{
		codeNotSupported, "LISTEN is not supported through the proxy",
		"connections are shared between transactions; connect to the database directly",
	}
	errStatementLimit = &failure{
		codeProgramLimit, "prepared statements exceed the size limit",
		"close statements that are no longer used",
	}
	errSessionLock = &failure{
		codeNotSupported, "session-level advisory locks are not supported through the proxy",
		"use pg_advisory_xact_lock; connections are shared between transactions",
	}
	errSetConfig = &failure{
		codeNotSupported, "set_config outside of a transaction block is not supported through the proxy",
		"use SET, which the proxy applies to the whole session",
	}
	errLateIdempotencyKey = &failure{
		codeNotInState, "an idempotency key must be given with the first statement of a transaction",
		"roll back and retry the transaction",
	}
	errSeveralIdempotencyKeys = &failure{
		codeNotInState, "a transaction can have only one idempotency key",
		"send Sync between requests with different idempotency keys",
	}
	errBatchTooLarge = &failure{
		codeProgramLimit, "messages up to Sync exceed the size limit",
		"send Sync more often",
	}
	errFailedBlock = &failure{
		codeFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block", "",
	}
	errCancelled       = &failure{codeCancelled, "canceling statement due to user request", "the request was not run"}
	errMixedParameters = &failure{
		codeNotSupported,
		"laburnumlock parameters can't be set together with other statements",
		"send the SET as a request of its own, or use a comment tag",
	}
)

// frameFailure returns the error that the client receives for an error of the message splitter.
func frameFailure(err error) *failure {
	var l *labframe.LengthError
	if errors.As(err, &l) && l.TooLarge() {
		return &failure{codeProgramLimit, l.Error(), "split the request"}
	}

	return &failure{codeProtocolViolation, err.Error(), ""}
}

// outcomeFailure returns the error that the client receives for an error of the gateway.
func outcomeFailure(err error) *failure {
	outcome, reason := lab.OutcomeOf(err)
	f := &failure{code: outcome.SQLState()}

	switch outcome {
	case lab.OutcomeNotRun:
		f.message = "request was not run: " + reason
		f.hint = "it is safe to send the request again"

		if reason == lab.ReasonRejected || reason == lab.ReasonTooLarge {
			f.hint = "correct the request before sending it again: " + cause(err)
		}
	case lab.OutcomeDuplicate:
		f.message = "request had run before under the same name"
		f.hint = "do not send the request again"
	case lab.OutcomeUnknown:
		f.message = "outcome of the request is unknown: " + reason
		f.hint = "check whether it took effect before sending it again, or repeat it with the same idempotency key"
	}

	return f
}

// cause returns the text of the error that an OutcomeError wraps, or of err itself.
func cause(err error) string {
	var o *lab.OutcomeError
	if errors.As(err, &o) && o.Err != nil {
		return o.Err.Error()
	}

	return err.Error()
}
