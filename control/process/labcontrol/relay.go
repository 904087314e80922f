package labcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Timing of a relay's batches.
const (
	// RelayDelay is how long a relay collects heartbeats for one batch.
	RelayDelay = 50 * time.Millisecond
	// relayTimeout bounds the time from the first heartbeat of a batch to the leader's response. After a timeout the
	// proxies retry with their next heartbeats.
	relayTimeout = 2 * time.Second
)

// relay collects the heartbeats of proxies into batches for the leader while another instance leads.
type relay struct {
	lock    sync.Mutex
	pending *relayBatch // batch that still takes heartbeats, or nil
}

// relayBatch is a batch of heartbeats with its outcome. The fields response and err are valid once done is closed.
type relayBatch struct {
	request  HeartbeatBatch
	response HeartbeatBatchResponse
	err      error
	done     chan struct{}
}

// forward adds a heartbeat to the pending batch and waits for the leader's response.
func (r *relay) forward(ctx context.Context, s *Server, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
	r.lock.Lock()
	b := r.pending
	if b == nil {
		b = &relayBatch{done: make(chan struct{})}
		r.pending = b
		go r.send(s, b)
	}
	index := len(b.request.Heartbeats)
	b.request.Heartbeats = append(b.request.Heartbeats, h)
	r.lock.Unlock()
	select {
	case <-ctx.Done():
		return lab.HeartbeatResponse{}, errors.Newf("relay heartbeat: %w", ctx.Err())
	case <-b.done:
	}
	if b.err != nil {
		return lab.HeartbeatResponse{}, errors.Newf("relay heartbeat: %w", b.err)
	}

	return b.response.responseAt(index), nil
}

// send waits for RelayDelay while the batch takes heartbeats, and then sends it to the leader.
func (r *relay) send(s *Server, b *relayBatch) {
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
		b.response, b.err = s.HandleHeartbeatBatch(ctx, s.Self.ID, b.request)

		return
	}
	address, known := s.ControlAddress(leader)
	if !known {
		b.err = errors.Newf("no leader known: %w", lab.ErrNotLeader)

		return
	}
	if err := s.Peers.Call(ctx, address, MethodHeartbeatBatch, b.request, &b.response); err != nil {
		b.err = errors.Newf("call leader %s: %w", leader, err)

		return
	}
	b.err = b.response.validate(len(b.request.Heartbeats))
}

// validate returns an error unless the response fits a batch of count heartbeats.
func (r *HeartbeatBatchResponse) validate(count int) error {
	if len(r.Responses) != count || len(r.DeltaIndexes) != count {
		return errors.Newf("leader responded to %d of %d heartbeats", len(r.Responses), count)
	}
	for _, c := range r.DeltaIndexes {
		if c < 0 || c >= len(r.Deltas) {
			return errors.Newf("leader's response refers to delta %d of %d", c, len(r.Deltas))
		}
	}

	return nil
}
