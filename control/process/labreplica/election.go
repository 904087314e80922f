package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

func (r *Replica) resetElectionDeadline() {
	timeout := r.ElectionMin
	if !r.leaderObserved {
		timeout = r.StartupElectionMin
	}

	if s := uint64(r.ElectionMax - r.ElectionMin); s > 0 {
		timeout += time.Duration(r.Random.Uint64() % s)
	}

	r.electionDeadline = r.now + timeout
}

func (r *Replica) onElectionTimeout() {
	r.leaderID = ""
	r.resetElectionDeadline()

	if r.Membership().Voter(r.ID) {
		r.startPreVote()
	}
}

// startPreVote asks whether an election could be won before raising the term, so that a replica that was isolated does
// not depose the leader when it returns.
func (r *Replica) startPreVote() {
	r.role = preCandidate
	r.votes = map[lab.InstanceID]bool{r.ID: true}
	r.requestVotes(KindPreVote, r.hardState.Term+1)

	if r.hasVoteQuorum() {
		r.campaign()
	}
}

// campaign votes for itself; the vote counts once it is persisted.
func (r *Replica) campaign() {
	r.role = candidate
	r.leaderID = ""
	r.hardState = lab.HardState{Term: r.hardState.Term + 1, VotedFor: r.ID}
	r.votes = map[lab.InstanceID]bool{}
	r.resetElectionDeadline()
	r.requestVotes(KindVote, r.hardState.Term)
}

func (r *Replica) requestVotes(kind Kind, term uint64) {
	for _, v := range r.Membership().Voters {
		if v == r.ID {
			continue
		}

		r.messages = append(r.messages, Message{
			Kind: kind, From: r.ID, To: v, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
		})
	}
}

func (r *Replica) hasVoteQuorum() bool {
	n := 0

	for _, v := range r.Membership().Voters {
		if r.votes[v] {
			n++
		}
	}

	return n >= r.Membership().quorum()
}

// inLeaderLease reports whether a live leader may count on this replica not to help elect another one.
func (r *Replica) inLeaderLease() bool {
	return r.role == leader || r.now-r.lastLeaderContact < r.ElectionMin
}

// acceptTerm takes over the higher term of a message and reports whether the message is to be processed.
func (r *Replica) acceptTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if !m.Reject {
			return true
		}
	case KindVote:
		if r.inLeaderLease() {
			return false
		}
	case KindVoteResponse, KindAppend, KindAppendResponse, KindSnapshot, KindSnapshotResponse:
	}

	r.becomeFollower(m.Term, "")

	return true
}

// rejectStaleTerm tells a sender with a lower term about the current one; a replica whose term ran ahead would otherwise
// stay cut off from the leader.
func (r *Replica) rejectStaleTerm(m Message) {
	switch m.Kind {
	case KindPreVote:
		r.send(Message{Kind: KindPreVoteResponse, To: m.From, Reject: true})
	case KindVote:
		r.send(Message{Kind: KindVoteResponse, To: m.From, Reject: true})
	case KindAppend, KindSnapshot:
		r.send(Message{Kind: KindAppendResponse, To: m.From, Reject: true})
	case KindPreVoteResponse, KindVoteResponse, KindAppendResponse, KindSnapshotResponse:
	}
}

func (r *Replica) becomeFollower(term uint64, leaderID lab.InstanceID) {
	if term > r.hardState.Term {
		r.hardState = lab.HardState{Term: term}
	}

	if r.role != follower {
		r.resetElectionDeadline()
	}

	r.role = follower
	r.leaderID = leaderID
	r.votes, r.peers, r.barriers = nil, nil, nil
	r.heartbeatDue = false
}

func (r *Replica) logUpToDate(m Message) bool {
	t := r.log.lastTerm()

	return m.LogTerm > t || (m.LogTerm == t && m.Index >= r.log.lastIndex())
}

func (r *Replica) onPreVote(m Message) {
	response := Message{Kind: KindPreVoteResponse, From: r.ID, To: m.From, Term: m.Term}
	if m.Term <= r.hardState.Term || r.inLeaderLease() || !r.logUpToDate(m) {
		response.Reject, response.Term = true, r.hardState.Term
	}

	r.messages = append(r.messages, response)
}

func (r *Replica) onPreVoteResponse(m Message) {
	if r.role != preCandidate || m.Reject || m.Term != r.hardState.Term+1 {
		return
	}

	r.votes[m.From] = true
	if r.hasVoteQuorum() {
		r.campaign()
	}
}

// onVote grants at most one vote per term; the answer is sent after the vote is persisted.
func (r *Replica) onVote(m Message) {
	canVote := r.hardState.VotedFor == m.From || (r.hardState.VotedFor == "" && r.leaderID == "")
	grant := canVote && r.role != leader && r.logUpToDate(m)

	if grant {
		r.hardState.VotedFor = m.From
		r.resetElectionDeadline()
	}

	r.send(Message{Kind: KindVoteResponse, To: m.From, Reject: !grant})
}

func (r *Replica) onVoteResponse(m Message) {
	if r.role != candidate || m.Reject {
		return
	}

	r.votes[m.From] = true
	r.becomeLeaderIfElected()
}

func (r *Replica) becomeLeaderIfElected() {
	if r.hasVoteQuorum() {
		r.becomeLeader()
	}
}
