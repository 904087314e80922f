package labsession

import "laburnumlock.dev/lab/proxy/request/labstatement"

// stepKind tells how a part of the response is handled.
type stepKind uint8

const (
	stepInsert  stepKind = iota // a message that the session itself sends to the client
	stepForward                 // one upstream message, which is forwarded to the client
	stepDrop                    // one upstream message, which is not forwarded
	stepHidden                  // the upstream messages of one statement, which are not forwarded
	stepExecute                 // the upstream messages of one statement, which are forwarded to the client
)

// responseStep is one expected part of the response to a batch.
type responseStep struct {
	kind          stepKind
	message       []byte                 // message to insert; for other steps, the response if the batch needs no gateway
	statement     labstatement.Statement // statement that a stepExecute executes
	statementName string                 // client's name of the prepared statement, if isParse is set
	isParse       bool                   // the step is the response to a Parse message
}

// hiddenSteps returns one step of kind stepHidden for each of count statements.
func hiddenSteps(count int) []responseStep {
	steps := make([]responseStep, count)
	for i := range steps {
		steps[i].kind = stepHidden
	}

	return steps
}
