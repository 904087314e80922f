package labcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// The limits of a relay's batches.
const (
	// RelayDelay is how long a relay collects heartbeats for one message to the leader.
	RelayDelay = 50 * time.Millisecond
	// relayTimeout bounds one message; a proxy tries again with its next heartbeat.
	relayTimeout = 2 * time.Second
)

// relay collects the heartbeats of proxies while another instance leads.
type relay struct {
	lock    sync.Mutex
	pending *relayed
}

// relayed is one batch on its way; answer and err are set when done is closed.
type relayed struct {
	batch  HeartbeatBatch
	answer HeartbeatBatchAnswer
	err    error
	done   chan struct{}
}

// forward adds a heartbeat to the batch being collected and waits for the leader's answer.
func (r *relay) forward(ctx context.Context, s *Server, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
	r.lock.Lock()
	b := r.pending
	if b == nil {
		b = &relayed{done: make(chan struct{})}
		r.pending = b
		go r.send(s, b)
	}
	n := len(b.batch.Heartbeats)
	b.batch.Heartbeats = append(b.batch.Heartbeats, h)
	r.lock.Unlock()
	select {
	case <-ctx.Done():
		return lab.HeartbeatResponse{}, errors.Newf("relay heartbeat: %w", ctx.Err())
	case <-b.done:
	}
	if b.err != nil {
		return lab.HeartbeatResponse{}, errors.Newf("relay heartbeat: %w", b.err)
	}

	return b.answer.single(n), nil
}

// send waits for the batch to fill and calls the leader.
func (r *relay) send(s *Server, b *relayed) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	defer close(b.done)
	err := s.Clock.Sleep(ctx, RelayDelay)
	r.lock.Lock()
	r.pending = nil
	r.lock.Unlock()
	if err != nil {
		b.err = errors.Newf("collect heartbeats: %w", err)

		return
	}
	leader := s.Log.Leadership().Leader
	if leader == s.Self.ID {
		b.answer, b.err = s.HandleHeartbeatBatch(ctx, s.Self.ID, b.batch)

		return
	}
	address, known := s.ControlAddress(leader)
	if !known {
		b.err = errors.Newf("no leader known: %w", lab.ErrNotLeader)

		return
	}
	if err := s.Peers.Call(ctx, address, MethodHeartbeatBatch, b.batch, &b.answer); err != nil {
		b.err = errors.Newf("call leader %s: %w", leader, err)

		return
	}
	b.err = b.answer.check(len(b.batch.Heartbeats))
}

// check reports an answer that doesn't fit its batch.
func (a *HeartbeatBatchAnswer) check(count int) error {
	if len(a.Answers) != count || len(a.Choice) != count {
		return errors.Newf("leader answered %d of %d heartbeats", len(a.Answers), count)
	}
	for _, c := range a.Choice {
		if c < 0 || c >= len(a.Deltas) {
			return errors.Newf("leader's answer refers to delta %d of %d", c, len(a.Deltas))
		}
	}

	return nil
}
