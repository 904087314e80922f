package labreplica

import "laburnumlock.dev/lab"

// Output lists the actions that the caller must take, in the order of the fields.
type Output struct {
	ImmediateMessages []Message        // messages that may be sent before anything is persisted
	State             *lab.HardState   // term and vote to persist; nil when unchanged
	Snapshot          *lab.LogSnapshot // received snapshot to persist and restore the state machine from; nil for none
	Entries           []lab.LogEntry   // entries to persist
	Messages          []Message        // messages to send once State, Snapshot and Entries are persisted
	Committed         []lab.LogEntry   // entries to apply to the state machine
	Barriers          []uint64         // identifiers of the confirmed barriers
}

// Empty reports whether the output holds no actions.
func (o *Output) Empty() bool {
	return len(o.ImmediateMessages) == 0 && o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Barriers) == 0
}

// Output returns the actions that have become due since the last call. The caller must persist State, Snapshot and
// Entries, and then call Persisted before any other method.
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

// Persisted reports to the replica that State, Snapshot and Entries of the last Output are persisted.
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
