package labsession

import "laburnumlock.dev/lab/proxy/request/labstatement"

type stepKind uint8

const (
	stepInsert  stepKind = iota // a message that the session adds
	stepForward                 // one message of the upstream
	stepDrop                    // one message of the upstream that the caller does not get
	stepHidden                  // the answer to one statement that the caller does not get
	stepExecute                 // the answer to one statement
)

// responseStep is one expected part of an answer.
type responseStep struct {
	kind          stepKind
	message       []byte // what is added, or the answer when the session handles the unit itself
	statement     labstatement.Statement
	statementName string // the caller's name of the statement whose Parse this step answers
	isParse       bool
}

func hiddenSteps(count int) []responseStep {
	steps := make([]responseStep, count)
	for i := range steps {
		steps[i].kind = stepHidden
	}

	return steps
}
