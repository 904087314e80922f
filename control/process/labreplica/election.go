package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

func (r *Replica) resetDeadline() {
	d := r.ElectionMin
	if !r.led {
		d = r.Rejoin
	}

	if s := uint64(r.ElectionMax - r.ElectionMin); s > 0 {
		d += time.Duration(r.Random.Uint64() % s)
	}

	r.deadline = r.now + d
}

func (r *Replica) timeOut() {
	r.leader = ""
	r.resetDeadline()

	if r.Members().Voter(r.ID) {
		r.startPreVote()
	}
}

// startPreVote asks whether an election could be won before raising the term, so that a replica that was isolated does
// not depose the leader when it returns.
func (r *Replica) startPreVote() {
	r.role = preCandidate
	r.votes = map[lab.InstanceID]bool{r.ID: true}
	r.askVotes(KindPreVote, r.state.Term+1)

	if r.won() {
		r.campaign()
	}
}

// campaign votes for itself; the vote counts once it is persisted.
func (r *Replica) campaign() {
	r.role = candidate
	r.leader = ""
	r.state = lab.HardState{Term: r.state.Term + 1, VotedFor: r.ID}
	r.votes = map[lab.InstanceID]bool{}
	r.resetDeadline()
	r.askVotes(KindVote, r.state.Term)
}

func (r *Replica) askVotes(kind Kind, term uint64) {
	for _, v := range r.Members().Voters {
		if v == r.ID {
			continue
		}

		r.messages = append(r.messages, Message{
			Kind: kind, From: r.ID, To: v, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm(),
		})
	}
}

func (r *Replica) won() bool {
	n := 0

	for _, v := range r.Members().Voters {
		if r.votes[v] {
			n++
		}
	}

	return n >= r.Members().quorum()
}

// inLease reports whether a live leader may count on this replica not to help elect another one.
func (r *Replica) inLease() bool {
	return r.role == leader || r.now-r.heard < r.ElectionMin
}

// acceptTerm takes over the higher term of a message and reports whether the message is to be processed.
func (r *Replica) acceptTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteAnswer:
		if !m.Reject {
			return true
		}
	case KindVote:
		if r.inLease() {
			return false
		}
	case KindVoteAnswer, KindAppend, KindAppendAnswer, KindSnapshot, KindSnapshotAnswer:
	}

	r.becomeFollower(m.Term, "")

	return true
}

// answerOldTerm tells a sender with a lower term about the current one; a replica whose term ran ahead would otherwise
// stay cut off from the leader.
func (r *Replica) answerOldTerm(m Message) {
	switch m.Kind {
	case KindPreVote:
		r.send(Message{Kind: KindPreVoteAnswer, To: m.From, Reject: true})
	case KindVote:
		r.send(Message{Kind: KindVoteAnswer, To: m.From, Reject: true})
	case KindAppend, KindSnapshot:
		r.send(Message{Kind: KindAppendAnswer, To: m.From, Reject: true})
	case KindPreVoteAnswer, KindVoteAnswer, KindAppendAnswer, KindSnapshotAnswer:
	}
}

func (r *Replica) becomeFollower(term uint64, from lab.InstanceID) {
	if term > r.state.Term {
		r.state = lab.HardState{Term: term}
	}

	if r.role != follower {
		r.resetDeadline()
	}

	r.role = follower
	r.leader = from
	r.votes, r.peers, r.barriers = nil, nil, nil
	r.beat = false
}

func (r *Replica) upToDate(m Message) bool {
	t := r.log.lastTerm()

	return m.LogTerm > t || (m.LogTerm == t && m.Index >= r.log.last())
}

func (r *Replica) onPreVote(m Message) {
	a := Message{Kind: KindPreVoteAnswer, From: r.ID, To: m.From, Term: m.Term}
	if m.Term <= r.state.Term || r.inLease() || !r.upToDate(m) {
		a.Reject, a.Term = true, r.state.Term
	}

	r.messages = append(r.messages, a)
}

func (r *Replica) onPreVoteAnswer(m Message) {
	if r.role != preCandidate || m.Reject || m.Term != r.state.Term+1 {
		return
	}

	r.votes[m.From] = true
	if r.won() {
		r.campaign()
	}
}

// onVote grants at most one vote per term; the answer is sent after the vote is persisted.
func (r *Replica) onVote(m Message) {
	free := r.state.VotedFor == m.From || (r.state.VotedFor == "" && r.leader == "")
	grant := free && r.role != leader && r.upToDate(m)

	if grant {
		r.state.VotedFor = m.From
		r.resetDeadline()
	}

	r.send(Message{Kind: KindVoteAnswer, To: m.From, Reject: !grant})
}

func (r *Replica) onVoteAnswer(m Message) {
	if r.role != candidate || m.Reject {
		return
	}

	r.votes[m.From] = true
	r.electIfWon()
}

func (r *Replica) electIfWon() {
	if r.won() {
		r.becomeLeader()
	}
}
