package labreplica

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

func (r *Replica) becomeLeader() {
	r.role, r.leaderID, r.electedAt = leader, r.ID, r.now
	r.peers, r.barriers = nil, nil
	r.updatePeers()

	// A leader may commit entries of earlier terms only together with an entry of its own term, so it first appends an
	// empty entry.
	r.termStart = r.log.lastIndex() + 1
	r.log.append(lab.LogEntry{Index: r.termStart, Term: r.hardState.Term})
	r.startHeartbeat()
}

// updatePeers adds and removes peers so that they match the current membership.
func (r *Replica) updatePeers() {
	old := r.peers
	r.peers = nil

	for _, id := range r.Membership().Instances() {
		if id == r.ID {
			continue
		}

		i := slices.IndexFunc(old, func(p *progress) bool { return p.id == id })
		if i >= 0 {
			r.peers = append(r.peers, old[i])
		} else {
			r.peers = append(r.peers, newProgress(id, r.log.lastIndex()+1))
		}
	}
}

func (r *Replica) peer(id lab.InstanceID) *progress {
	for _, p := range r.peers {
		if p.id == id {
			return p
		}
	}

	return nil
}

// quorumValue returns the highest value that a quorum of voters has reached. ownValue is the value of this replica, and
// value returns the value of a peer. The result is -1 if the voters with a known value are fewer than a quorum.
func (r *Replica) quorumValue(ownValue int64, value func(*progress) int64) int64 {
	m := r.Membership()
	values := make([]int64, 0, len(m.Voters))

	for _, v := range m.Voters {
		if v == r.ID {
			values = append(values, ownValue)
		} else if p := r.peer(v); p != nil {
			values = append(values, value(p))
		}
	}

	slices.Sort(values)
	if len(values) < m.quorum() {
		return -1
	}

	return values[len(values)-m.quorum()]
}

func (r *Replica) tickLeader() {
	if r.now-max(r.QuorumContact(), r.electedAt) >= r.ElectionMin {
		r.becomeFollower(r.hardState.Term, "")

		return
	}

	if r.now >= r.nextHeartbeat {
		r.startHeartbeat()
	}
}

// QuorumContact returns the time of the last contact with a quorum: a quorum has responded to messages that were sent
// at this time or later. It is negative when no quorum has responded in this term.
func (r *Replica) QuorumContact() time.Duration {
	return time.Duration(r.quorumValue(int64(r.now), func(p *progress) int64 { return int64(p.lastContact) }))
}

// startHeartbeat starts a heartbeat round and lets the leader send another probe to each peer that it is probing.
func (r *Replica) startHeartbeat() {
	r.round++
	r.heartbeatDue = true
	r.nextHeartbeat = r.now + r.Heartbeat

	for _, p := range r.peers {
		p.probeOutstanding = false
	}
}

// Propose appends commands to the log and returns the index of the first command and the current term.
func (r *Replica) Propose(now time.Duration, commands ...[]byte) (index, term uint64, err error) {
	r.Tick(now)

	if r.role != leader {
		return 0, 0, lab.ErrNotLeader
	}

	index = r.log.lastIndex() + 1
	for _, c := range commands {
		r.log.append(lab.LogEntry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Data: encodeCommand(c)})
	}

	return index, r.hardState.Term, nil
}

func (r *Replica) onAppendResponse(m Message) error {
	p := r.peer(m.From)
	if r.role != leader || p == nil {
		return nil
	}

	p.recordContact(m.Round, m.SentAt)

	if m.Reject {
		hint, _ := r.log.findConflictByTerm(m.Hint, m.LogTerm)
		p.recordRejection(m.Index, hint, m.Round)
	} else {
		if m.Index > r.log.lastIndex() {
			return nil
		}
		p.recordAcknowledgement(m.Index, m.Round)
	}

	r.advanceCommit()

	return nil
}

// advanceCommit raises the commit index to the highest index that a quorum has persisted, provided that the entry there
// belongs to the current term. Entries of earlier terms are committed together with that entry.
func (r *Replica) advanceCommit() {
	i := r.quorumValue(int64(r.log.persistedIndex), func(p *progress) int64 { return int64(p.matchIndex) })
	if i <= int64(r.commitIndex) || !r.log.matches(uint64(i), r.hardState.Term) {
		return
	}

	r.commitIndex = uint64(i)

	if h := r.memberships[len(r.memberships)-1]; h.index <= r.commitIndex && !h.membership.Voter(r.ID) {
		r.becomeFollower(r.hardState.Term, "")
	}
}

// replicate queues messages with the entries or snapshot chunks that each peer lacks. When a heartbeat is due, it
// queues an empty append for each peer that gets no other message.
func (r *Replica) replicate() {
	for _, p := range r.peers {
		n := len(r.immediateMessages)
		r.replicateTo(p)

		if r.heartbeatDue && len(r.immediateMessages) == n {
			r.sendAppend(p, nil)
		}
	}

	r.heartbeatDue = false
}

func (r *Replica) replicateTo(p *progress) {
	if p.transfer == nil && p.nextIndex <= r.log.baseIndex {
		p.startTransfer(r.snapshot)
	}

	if p.transfer != nil {
		r.sendChunk(p)

		return
	}

	for p.nextIndex <= r.log.lastIndex() && !p.blocked(r.Window) {
		e := r.log.batch(p.nextIndex, r.BatchBytes)
		r.sendAppend(p, e)
		p.recordSent(e)
	}
}

// sendAppend queues an append message with entries that start at the peer's next index. During a snapshot transfer, the
// entry before that index may be compacted. The message then has index 0, which matches every log.
func (r *Replica) sendAppend(p *progress, entries []lab.LogEntry) {
	m := Message{
		Kind: KindAppend, From: r.ID, To: p.id, Term: r.hardState.Term,
		Commit: r.commitIndex, Round: r.round, SentAt: r.now, Entries: entries,
	}

	if t, ok := r.log.term(p.nextIndex - 1); ok && p.transfer == nil {
		m.Index, m.LogTerm = p.nextIndex-1, t
	}

	r.immediateMessages = append(r.immediateMessages, m)
}
