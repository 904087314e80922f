package labpatience

import "time"

// objectiveShare of an operation's objective is how long it may queue: what waits longer misses the objective, and is
// better told at once that it has not run.
const objectiveShare = 2

// Wait is the situation of a statement that needs a connection in use by others.
type Wait struct {
	Remaining time.Duration // of the statement's time limit
	Objective time.Duration // of the whole operation, 0 for none
	Expected  time.Duration // from sending a statement to its answer, as of late
	Failing   bool          // the member doesn't answer; it is being replaced rather than busy
}

// Limit returns how long the statement may wait; it is refused at once when the limit isn't positive.
func (w Wait) Limit() time.Duration {
	left := w.Remaining - w.Expected

	if w.Failing || w.Objective <= 0 {
		return left
	}

	return min(left, w.Objective/objectiveShare)
}
