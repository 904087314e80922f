package labreplica

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// acceptLeader follows the sender of m, the leader of the current term, and restarts the election timeout.
func (r *Replica) acceptLeader(m Message) error {
	if r.role == leader {
		return errors.Newf("second leader %s in term %d: %w", m.From, m.Term, ErrProtocol)
	}

	r.becomeFollower(m.Term, m.From)
	r.lastLeaderContact, r.leaderObserved = r.now, true
	r.resetElectionDeadline()

	return nil
}

func (r *Replica) onAppend(m Message) error {
	if err := r.acceptLeader(m); err != nil {
		return err
	}

	m = r.skipCommitted(m)
	response := Message{Kind: KindAppendResponse, To: m.From, Round: m.Round, SentAt: m.SentAt}

	if !r.log.matches(m.Index, m.LogTerm) {
		response.Reject, response.Index = true, m.Index
		response.Hint, response.LogTerm = r.log.findConflictByTerm(m.Index, m.LogTerm)
		r.send(response)

		return nil
	}

	if err := r.storeEntries(m.Entries); err != nil {
		return err
	}

	response.Index = m.Index + uint64(len(m.Entries))
	r.commitIndex = max(r.commitIndex, min(m.Commit, response.Index))
	r.send(response)

	return nil
}

// skipCommitted removes from an append message the entries that this replica knows to be committed. Compaction may have
// removed these entries from the local log, so they can't be compared with it.
func (r *Replica) skipCommitted(m Message) Message {
	if m.Index >= r.commitIndex {
		return m
	}

	n := min(r.commitIndex-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[n:]
	m.Index = r.commitIndex
	m.LogTerm, _ = r.log.term(r.commitIndex)

	return m
}

// storeEntries appends the entries that the log lacks, after removing stored entries that conflict with them.
func (r *Replica) storeEntries(entries []lab.LogEntry) error {
	for i, e := range entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}

		return r.replaceSuffix(entries[i:])
	}

	return nil
}

func (r *Replica) replaceSuffix(entries []lab.LogEntry) error {
	first := entries[0].Index
	if first <= r.commitIndex || first > r.log.lastIndex()+1 {
		return errors.Newf("entry %d conflicts with commit index %d: %w", first, r.commitIndex, ErrProtocol)
	}

	if first <= r.log.lastIndex() {
		r.log.truncate(first)
		r.truncateMemberships(first)
	}

	for _, e := range entries {
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}

	return nil
}

func (r *Replica) appendEntry(e lab.LogEntry) error {
	m, ok, err := decodeMembership(e)
	if err != nil {
		return err
	}

	r.log.append(e)

	if ok {
		r.memberships = append(r.memberships, indexedMembership{e.Index, m})
	}

	return nil
}
