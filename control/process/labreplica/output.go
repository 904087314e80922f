package labreplica

import "laburnumlock.dev/lab"

// Output is what the caller has to do, in the order of the fields.
type Output struct {
	ImmediateMessages []Message        // may be sent before anything is persisted
	State             *lab.HardState   // to persist, nil when unchanged
	Snapshot          *lab.LogSnapshot // to persist and restore the state machine from, nil when there is none
	Entries           []lab.LogEntry   // to persist
	Messages          []Message        // to send once all of the above is persisted
	Committed         []lab.LogEntry   // to apply
	Barriers          []uint64         // confirmed barriers
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.ImmediateMessages) == 0 && o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Barriers) == 0
}

// Output returns what is to be done since the last call. After persisting, the caller calls Persisted before any other
// method.
func (r *Replica) Output() Output {
	if r.role == leader {
		r.startBarrierRound()
		r.replicate()
		r.confirmBarriers()
	}

	o := Output{
		ImmediateMessages: r.immediateMessages, Snapshot: r.installed, Messages: r.messages, Barriers: r.confirmedBarriers,
		Entries:   r.log.between(r.log.outputIndex, r.log.lastIndex()),
		Committed: r.log.between(r.appliedIndex, r.commitIndex),
	}

	if r.hardState != r.outputState {
		s := r.hardState
		o.State, r.outputState = &s, s
	}

	r.immediateMessages, r.messages, r.installed, r.confirmedBarriers = nil, nil, nil, nil
	r.log.outputIndex, r.appliedIndex = r.log.lastIndex(), r.commitIndex

	return o
}

// Persisted tells that everything in the last Output is persisted.
func (r *Replica) Persisted() {
	r.log.persistedIndex = r.log.outputIndex

	switch r.role {
	case candidate:
		r.votes[r.ID] = true
		r.becomeLeaderIfElected()
	case leader:
		r.advanceCommit()
	case follower, preCandidate:
	}
}
