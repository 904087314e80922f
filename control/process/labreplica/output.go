package labreplica

import "laburnumlock.dev/lab"

// Output is what the caller has to do, in the order of the fields.
type Output struct {
	Early     []Message        // may be sent before anything is persisted
	State     *lab.HardState   // to persist, nil when unchanged
	Snapshot  *lab.LogSnapshot // to persist and restore the state machine from, nil when there is none
	Entries   []lab.LogEntry   // to persist
	Messages  []Message        // to send once all of the above is persisted
	Committed []lab.LogEntry   // to apply
	Barriers  []uint64         // confirmed barriers
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.Early) == 0 && o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Barriers) == 0
}

// Output returns what is to be done since the last call. After persisting, the caller calls Persisted before any other
// method.
func (r *Replica) Output() Output {
	if r.role == leader {
		r.startRound()
		r.replicate()
		r.confirmBarriers()
	}

	o := Output{
		Early: r.early, Snapshot: r.install, Messages: r.messages, Barriers: r.confirmed,
		Entries:   r.log.between(r.log.handed, r.log.last()),
		Committed: r.log.between(r.applied, r.commit),
	}

	if r.state != r.saved {
		s := r.state
		o.State, r.saved = &s, s
	}

	r.early, r.messages, r.install, r.confirmed = nil, nil, nil, nil
	r.log.handed, r.applied = r.log.last(), r.commit

	return o
}

// Persisted tells that everything in the last Output is persisted.
func (r *Replica) Persisted() {
	r.log.stable = r.log.handed

	switch r.role {
	case candidate:
		r.votes[r.ID] = true
		r.electIfWon()
	case leader:
		r.advanceCommit()
	case follower, preCandidate:
	}
}
