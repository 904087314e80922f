package labreplica

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// incomingSnapshot is the received part of a snapshot. All chunks come from the leader of one term.
type incomingSnapshot struct {
	term     uint64
	snapshot lab.LogSnapshot
}

// Snapshot returns a snapshot at AppliedIndex with the encoded state of the state machine in data.
func (r *Replica) Snapshot(data []byte) lab.LogSnapshot {
	t, _ := r.log.term(r.appliedIndex)
	m := r.membershipAt(r.appliedIndex)

	return lab.LogSnapshot{
		Index: r.appliedIndex, Term: t, Voters: m.Voters, Learners: m.Learners, Joined: m.Joined, Data: data,
	}
}

// Compact drops the entries that a stored snapshot covers, except the last TrailingEntries entries.
func (r *Replica) Compact(snapshot lab.LogSnapshot) {
	r.snapshot = snapshot
	if snapshot.Index > r.TrailingEntries {
		r.log.compact(snapshot.Index - r.TrailingEntries)
	}

	for len(r.memberships) > 1 && r.memberships[1].index <= snapshot.Index {
		r.memberships = r.memberships[1:]
	}
}

// sendChunk queues the next chunk of a snapshot once the peer has responded to the previous chunk, or SnapshotRetry
// after that chunk was sent.
func (r *Replica) sendChunk(p *progress) {
	t := p.transfer
	if !t.chunkDue && r.now-t.sentAt < r.SnapshotRetry {
		return
	}

	t.chunkDue, t.sentAt = false, r.now
	end := min(t.offset+uint64(r.ChunkBytes), uint64(len(t.snapshot.Data)))
	r.immediateMessages = append(r.immediateMessages, Message{
		Kind: KindSnapshot, From: r.ID, To: p.id, Term: r.hardState.Term,
		Index: t.snapshot.Index, LogTerm: t.snapshot.Term, Round: r.round, SentAt: r.now,
		Chunk: &Chunk{
			Membership: snapshotMembership(t.snapshot), Offset: t.offset,
			Total: uint64(len(t.snapshot.Data)), Data: t.snapshot.Data[t.offset:end],
		},
	})
}

func (r *Replica) onSnapshotResponse(m Message) {
	p := r.peer(m.From)
	if r.role != leader || p == nil || m.Chunk == nil {
		return
	}

	p.recordContact(m.Round, m.SentAt)

	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || m.Chunk.Offset > uint64(len(t.snapshot.Data)) {
		return
	}

	if m.Chunk.Offset != t.offset {
		t.offset, t.chunkDue = m.Chunk.Offset, true
	}
}

func (r *Replica) onSnapshot(m Message) error {
	if m.Chunk == nil {
		return errors.Newf("snapshot message without chunk from %s: %w", m.From, ErrProtocol)
	}

	if err := r.acceptLeader(m); err != nil {
		return err
	}

	if m.Index <= r.commitIndex || r.log.matches(m.Index, m.LogTerm) {
		r.commitIndex = max(r.commitIndex, m.Index)
		r.incoming = nil
		r.send(Message{Kind: KindAppendResponse, To: m.From, Index: r.commitIndex, Round: m.Round, SentAt: m.SentAt})

		return nil
	}

	r.receiveChunk(m)

	return nil
}

func (r *Replica) receiveChunk(m Message) {
	// Two leaders may encode the same state differently, so chunks from different terms must not be combined.
	if r.incoming == nil || r.incoming.term != m.Term || r.incoming.snapshot.Index != m.Index {
		r.incoming = &incomingSnapshot{term: m.Term, snapshot: lab.LogSnapshot{
			Index: m.Index, Term: m.LogTerm, Voters: m.Chunk.Membership.Voters, Learners: m.Chunk.Membership.Learners,
			Joined: m.Chunk.Membership.Joined,
		}}
	}

	s := &r.incoming.snapshot
	if m.Chunk.Offset == uint64(len(s.Data)) {
		s.Data = append(s.Data, m.Chunk.Data...)
	}

	if uint64(len(s.Data)) >= m.Chunk.Total {
		r.installSnapshot(*s)
		r.send(Message{Kind: KindAppendResponse, To: m.From, Index: m.Index, Round: m.Round, SentAt: m.SentAt})

		return
	}

	r.send(Message{
		Kind: KindSnapshotResponse, To: m.From, Index: m.Index, Round: m.Round, SentAt: m.SentAt,
		Chunk: &Chunk{Offset: uint64(len(s.Data))},
	})
}

func (r *Replica) installSnapshot(s lab.LogSnapshot) {
	r.incoming = nil
	r.installed, r.snapshot = &s, s
	r.commitIndex, r.appliedIndex = s.Index, s.Index
	r.log.reset(s.Index, s.Term)
	r.memberships = []indexedMembership{{s.Index, snapshotMembership(s)}}
}
