package labreplica

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// incoming is a snapshot being received from the leader of a term.
type incoming struct {
	term     uint64
	snapshot lab.LogSnapshot
}

// Snapshot wraps the state machine's state as of Applied for storage.
func (r *Replica) Snapshot(data []byte) lab.LogSnapshot {
	t, _ := r.log.term(r.applied)
	m := r.membersAt(r.applied)

	return lab.LogSnapshot{Index: r.applied, Term: t, Voters: m.Voters, Learners: m.Learners, Data: data}
}

// Compact drops entries covered by a stored snapshot, except for the trailing ones.
func (r *Replica) Compact(snapshot lab.LogSnapshot) {
	r.snapshot = snapshot
	if snapshot.Index > r.Trailing {
		r.log.compact(snapshot.Index - r.Trailing)
	}

	for len(r.history) > 1 && r.history[1].index <= snapshot.Index {
		r.history = r.history[1:]
	}
}

// sendChunk sends the next part of a snapshot after the previous one was answered or timed out.
func (r *Replica) sendChunk(p *progress) {
	t := p.transfer
	if !t.due && r.now-t.sent < r.SnapshotRetry {
		return
	}

	t.due, t.sent = false, r.now
	end := min(t.offset+uint64(r.ChunkBytes), uint64(len(t.snapshot.Data)))
	r.early = append(r.early, Message{
		Kind: KindSnapshot, From: r.ID, To: p.id, Term: r.state.Term,
		Index: t.snapshot.Index, LogTerm: t.snapshot.Term, Round: r.round, Sent: r.now,
		Chunk: &Chunk{
			Members: snapshotMembers(t.snapshot), Offset: t.offset,
			Total: uint64(len(t.snapshot.Data)), Data: t.snapshot.Data[t.offset:end],
		},
	})
}

func (r *Replica) onSnapshotAnswer(m Message) {
	p := r.peer(m.From)
	if r.role != leader || p == nil || m.Chunk == nil {
		return
	}

	p.touch(m.Round, m.Sent)

	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || m.Chunk.Offset > uint64(len(t.snapshot.Data)) {
		return
	}

	if m.Chunk.Offset != t.offset {
		t.offset, t.due = m.Chunk.Offset, true
	}
}

func (r *Replica) onSnapshot(m Message) error {
	if m.Chunk == nil {
		return errors.Newf("snapshot message without chunk from %s: %w", m.From, ErrProtocol)
	}

	if err := r.follow(m); err != nil {
		return err
	}

	if m.Index <= r.commit || r.log.matches(m.Index, m.LogTerm) {
		r.commit = max(r.commit, m.Index)
		r.incoming = nil
		r.send(Message{Kind: KindAppendAnswer, To: m.From, Index: r.commit, Round: m.Round, Sent: m.Sent})

		return nil
	}

	r.receiveChunk(m)

	return nil
}

func (r *Replica) receiveChunk(m Message) {
	// Two leaders may encode the same state differently, so their chunks must not be mixed.
	if r.incoming == nil || r.incoming.term != m.Term || r.incoming.snapshot.Index != m.Index {
		r.incoming = &incoming{term: m.Term, snapshot: lab.LogSnapshot{
			Index: m.Index, Term: m.LogTerm, Voters: m.Chunk.Members.Voters, Learners: m.Chunk.Members.Learners,
		}}
	}

	s := &r.incoming.snapshot
	if m.Chunk.Offset == uint64(len(s.Data)) {
		s.Data = append(s.Data, m.Chunk.Data...)
	}

	if uint64(len(s.Data)) >= m.Chunk.Total {
		r.installSnapshot(*s)
		r.send(Message{Kind: KindAppendAnswer, To: m.From, Index: m.Index, Round: m.Round, Sent: m.Sent})

		return
	}

	r.send(Message{
		Kind: KindSnapshotAnswer, To: m.From, Index: m.Index, Round: m.Round, Sent: m.Sent,
		Chunk: &Chunk{Offset: uint64(len(s.Data))},
	})
}

func (r *Replica) installSnapshot(s lab.LogSnapshot) {
	r.incoming = nil
	r.install, r.snapshot = &s, s
	r.commit, r.applied = s.Index, s.Index
	r.log.reset(s.Index, s.Term)
	r.history = []membership{{s.Index, snapshotMembers(s)}}
}
