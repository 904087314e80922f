package labsample

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// minTimeout is the shortest wait after which a missing response counts against the member: twice the execution time of
// the longest statements (47 ms). A statement that was sent just before its deadline says nothing about the member.
const minTimeout = 100 * time.Millisecond

// Sample is what one exchange with a member has shown. The zero value shows nothing.
type Sample struct {
	// Latency is the time from sending a statement to its response, or to its deadline after a timeout. It is 0 if the
	// exchange ran no statement, or if the statement was refused or failed, which takes less time than running it.
	Latency time.Duration
	Read    bool // the statement only reads; the duration of writes depends on the replicas
	Served  bool // the statement got a response other than a refusal
	Refused bool // the member was too busy to run the statement
	Timeout bool // the response did not arrive in time
	Lost    bool // the connection was lost, or the responses did not belong to the operations
}

// Failed reports whether the member failed to serve the statement.
func (s Sample) Failed() bool {
	return s.Refused || s.Timeout || s.Lost
}

// New returns the sample of an exchange that took the given time. Exchanges without a statement, such as the begin of a
// transaction, need no slot of the member and show nothing. Nor do errors before a statement was sent, and refusals that
// follow from the role or the position of the member.
func New(sent []lab.Operation, results []lab.OperationResult, err error, elapsed time.Duration) Sample {
	at, ok := statement(sent)
	if !ok {
		return Sample{}
	}

	if err != nil {
		return ofError(sent[at], err, elapsed)
	}

	if at >= len(results) {
		return Sample{}
	}

	switch results[at].Fault {
	case lab.FaultNone:
		return Sample{Latency: elapsed, Read: reads(sent[at]), Served: true}
	case lab.FaultBusy, lab.FaultTooManyConnections:
		return Sample{Read: reads(sent[at]), Refused: true}
	case lab.FaultFailed:
		return Sample{Read: reads(sent[at]), Served: true}
	default:
		return Sample{}
	}
}

func ofError(o lab.Operation, err error, elapsed time.Duration) Sample {
	outcome, reason := lab.OutcomeOf(err)

	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if elapsed < minTimeout {
			return Sample{}
		}

		return Sample{Latency: elapsed, Read: reads(o), Timeout: true}
	case outcome == lab.OutcomeNotRun || reason == lab.ReasonMisrouted:
		return Sample{} // a gateway, not the member
	default:
		return Sample{Read: reads(o), Lost: true}
	}
}

// Runs reports whether any of the operations occupies a slot of the member.
func Runs(operations []lab.Operation) bool {
	_, ok := statement(operations)

	return ok
}

func statement(operations []lab.Operation) (int, bool) {
	for i := range operations {
		switch operations[i].Kind {
		case lab.OperationRead, lab.OperationWrite, lab.OperationExecute:
			return i, true
		default:
		}
	}

	return 0, false
}

func reads(o lab.Operation) bool {
	return o.Kind == lab.OperationRead || (o.Kind == lab.OperationExecute && !o.Writes)
}
