package labcatalog

import "strings"

// Problem is one reason for rejecting a document.
type Problem struct {
	Path     string `json:"path"` // JSON path of the rejected value
	Reason   string `json:"reason"`
	Accepted string `json:"accepted"`
}

// ValidationError lists all problems of a document.
type ValidationError struct {
	Problems []Problem `json:"problems"`
}

// Error returns one line per problem with its path, reason and accepted values.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": "+p.Reason+"; accepted: "+p.Accepted)
	}

	return strings.Join(lines, "\n")
}

func (e *ValidationError) add(path, reason, accepted string) {
	e.Problems = append(e.Problems, Problem{Path: path, Reason: reason, Accepted: accepted})
}

// orNil returns the error if it lists a problem, otherwise nil.
func (e *ValidationError) orNil() error {
	if len(e.Problems) == 0 {
		return nil
	}

	return e
}
