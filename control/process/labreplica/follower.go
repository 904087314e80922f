package labreplica

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// follow registers contact from the leader of the current term.
func (r *Replica) follow(m Message) error {
	if r.role == leader {
		return errors.Newf("second leader %s in term %d: %w", m.From, m.Term, ErrProtocol)
	}

	r.becomeFollower(m.Term, m.From)
	r.heard, r.led = r.now, true
	r.resetDeadline()

	return nil
}

func (r *Replica) onAppend(m Message) error {
	if err := r.follow(m); err != nil {
		return err
	}

	m = r.skipCommitted(m)
	a := Message{Kind: KindAppendAnswer, To: m.From, Round: m.Round, Sent: m.Sent}

	if !r.log.matches(m.Index, m.LogTerm) {
		a.Reject, a.Index = true, m.Index
		a.Hint, a.LogTerm = r.log.floor(m.Index, m.LogTerm)
		r.send(a)

		return nil
	}

	if err := r.accept(m.Entries); err != nil {
		return err
	}

	a.Index = m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, a.Index))
	r.send(a)

	return nil
}

// skipCommitted drops the part of an append that is committed here and may already be compacted.
func (r *Replica) skipCommitted(m Message) Message {
	if m.Index >= r.commit {
		return m
	}

	n := min(r.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[n:]
	m.Index = r.commit
	m.LogTerm, _ = r.log.term(r.commit)

	return m
}

// accept stores entries, removing those that conflict.
func (r *Replica) accept(entries []lab.LogEntry) error {
	for i, e := range entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}

		return r.replaceFrom(entries[i:])
	}

	return nil
}

func (r *Replica) replaceFrom(entries []lab.LogEntry) error {
	first := entries[0].Index
	if first <= r.commit || first > r.log.last()+1 {
		return errors.Newf("entry %d conflicts with commit index %d: %w", first, r.commit, ErrProtocol)
	}

	if first <= r.log.last() {
		r.log.truncate(first)
		r.forgetMembers(first)
	}

	for _, e := range entries {
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}

	return nil
}

func (r *Replica) appendEntry(e lab.LogEntry) error {
	m, ok, err := entryMembers(e)
	if err != nil {
		return err
	}

	r.log.append(e)

	if ok {
		r.history = append(r.history, membership{e.Index, m})
	}

	return nil
}
