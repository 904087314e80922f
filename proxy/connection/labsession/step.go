package labsession

import "laburnumlock.dev/lab/proxy/request/labstatement"

// stepKind tells how a part of the response is handled.
type stepKind uint8

const (
	stepInsert  stepKind = iota // a message inserted by the session
	stepForward                 // one upstream message, forwarded to the client
	stepDrop                    // one upstream message, not forwarded
	stepHidden                  // the upstream messages of one statement, not forwarded
	stepExecute                 // the upstream messages of one statement, forwarded to the client
)

// responseStep is one expected part of the response to a batch.
type responseStep struct {
	kind          stepKind
	message       []byte                 // inserted message, or the response in a batch handled without a gateway
	statement     labstatement.Statement // executed statement of a stepExecute
	statementName string                 // client's name of the prepared statement, if isParse
	isParse       bool                   // the step is the response to a Parse message
}

// hiddenSteps returns the steps of count statements whose responses are not sent to the client.
func hiddenSteps(count int) []responseStep {
	steps := make([]responseStep, count)
	for i := range steps {
		steps[i].kind = stepHidden
	}

	return steps
}
