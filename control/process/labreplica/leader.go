package labreplica

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

func (r *Replica) becomeLeader() {
	r.role, r.leader, r.elected = leader, r.ID, r.now
	r.peers, r.barriers = nil, nil
	r.syncPeers()

	// An entry of the own term lets entries of earlier terms commit.
	r.termStart = r.log.last() + 1
	r.log.append(lab.LogEntry{Index: r.termStart, Term: r.state.Term})
	r.startBeat()
}

// syncPeers adjusts what is tracked to the membership in force.
func (r *Replica) syncPeers() {
	old := r.peers
	r.peers = nil

	for _, id := range r.Members().All() {
		if id == r.ID {
			continue
		}

		i := slices.IndexFunc(old, func(p *progress) bool { return p.id == id })
		if i >= 0 {
			r.peers = append(r.peers, old[i])
		} else {
			r.peers = append(r.peers, newProgress(id, r.log.last()+1))
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

// quorumOf returns the highest value that a quorum of voters has reached.
func (r *Replica) quorumOf(own int64, value func(*progress) int64) int64 {
	m := r.Members()
	values := make([]int64, 0, len(m.Voters))

	for _, v := range m.Voters {
		if v == r.ID {
			values = append(values, own)
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
	if r.now-max(r.QuorumContact(), r.elected) >= r.ElectionMin {
		r.becomeFollower(r.state.Term, "")

		return
	}

	if r.now >= r.nextBeat {
		r.startBeat()
	}
}

// QuorumContact returns the latest time such that a quorum has answered messages sent since then; negative when none
// has answered in this term.
func (r *Replica) QuorumContact() time.Duration {
	return time.Duration(r.quorumOf(int64(r.now), func(p *progress) int64 { return int64(p.contact) }))
}

func (r *Replica) startBeat() {
	r.round++
	r.beat = true
	r.nextBeat = r.now + r.Heartbeat

	for _, p := range r.peers {
		p.paused = false
	}
}

// Propose appends commands to the log and returns the index of the first one and the term.
func (r *Replica) Propose(now time.Duration, commands ...[]byte) (index, term uint64, err error) {
	r.Tick(now)

	if r.role != leader {
		return 0, 0, lab.ErrNotLeader
	}

	index = r.log.last() + 1
	for _, c := range commands {
		r.log.append(lab.LogEntry{Index: r.log.last() + 1, Term: r.state.Term, Data: commandData(c)})
	}

	return index, r.state.Term, nil
}

func (r *Replica) onAppendAnswer(m Message) error {
	p := r.peer(m.From)
	if r.role != leader || p == nil {
		return nil
	}

	p.touch(m.Round, m.Sent)

	if m.Reject {
		h, _ := r.log.floor(m.Hint, m.LogTerm)
		p.reject(m.Index, h, m.Round)
	} else {
		if m.Index > r.log.last() {
			return nil
		}
		p.acknowledge(m.Index, m.Round)
	}

	r.advanceCommit()

	return nil
}

// advanceCommit commits by counting only entries of the own term; earlier ones commit with them.
func (r *Replica) advanceCommit() {
	i := r.quorumOf(int64(r.log.stable), func(p *progress) int64 { return int64(p.match) })
	if i <= int64(r.commit) || !r.log.matches(uint64(i), r.state.Term) {
		return
	}

	r.commit = uint64(i)

	if h := r.history[len(r.history)-1]; h.index <= r.commit && !h.members.Voter(r.ID) {
		r.becomeFollower(r.state.Term, "")
	}
}

// replicate queues what members lack, and a heartbeat for those with nothing to receive.
func (r *Replica) replicate() {
	for _, p := range r.peers {
		n := len(r.early)
		r.replicateTo(p)

		if r.beat && len(r.early) == n {
			r.sendAppend(p, nil)
		}
	}

	r.beat = false
}

func (r *Replica) replicateTo(p *progress) {
	if p.transfer == nil && p.next <= r.log.baseIndex {
		p.startTransfer(r.snapshot)
	}

	if p.transfer != nil {
		r.sendChunk(p)

		return
	}

	for p.next <= r.log.last() && !p.blocked(r.Window) {
		e := r.log.batch(p.next, r.BatchBytes)
		r.sendAppend(p, e)
		p.sent(e)
	}
}

// sendAppend sends entries from the member's next index on. During a snapshot transfer the preceding entry is not
// known; index 0 always matches.
func (r *Replica) sendAppend(p *progress, entries []lab.LogEntry) {
	m := Message{
		Kind: KindAppend, From: r.ID, To: p.id, Term: r.state.Term,
		Commit: r.commit, Round: r.round, Sent: r.now, Entries: entries,
	}

	if t, ok := r.log.term(p.next - 1); ok && p.transfer == nil {
		m.Index, m.LogTerm = p.next-1, t
	}

	r.early = append(r.early, m)
}
