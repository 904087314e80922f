package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

// resetElectionDeadline draws a new random election timeout that starts now.
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

// startPreVote asks the other voters whether they would vote for this replica, without raising the term. A replica that
// was isolated would otherwise return with a higher term and depose the leader.
func (r *Replica) startPreVote() {
	r.role = preCandidate
	r.votes = map[lab.InstanceID]bool{r.ID: true}
	r.requestVotes(KindPreVote, r.hardState.Term+1)

	if r.hasVoteQuorum() {
		r.campaign()
	}
}

// campaign raises the term and requests votes. This replica's own vote counts only once it is persisted.
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

// inLeaderLease reports whether this replica must refuse to vote because it leads or had contact with a leader within
// the minimum election timeout.
func (r *Replica) inLeaderLease() bool {
	return r.role == leader || r.now-r.lastLeaderContact < r.ElectionMin
}

// acceptTerm handles a message whose term is higher than the current one and reports whether to process the message. It
// adopts the term except from pre-vote requests and granted pre-votes, which carry the term of an election that has not
// started. A vote request during a leader lease is ignored.
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

// rejectStaleTerm rejects a request that has a lower term, so that its sender learns the current term. Otherwise a
// replica whose term is higher than the leader's would ignore the leader's messages forever.
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

// logUpToDate reports whether the sender of a vote request has a log that is at least as up to date as the local log.
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

// onVote grants at most one vote per term. The response is sent after the vote is persisted.
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
