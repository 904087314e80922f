package labsender

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	queueLength = 1024
	batchLength = 256
)

// Batch carries messages of one sender in order; it is the request of lab.MethodConsensus.
type Batch struct {
	Messages []labreplica.Message `msgpack:"m"`
}

// Senders send one batch at a time to each address; exported fields are set before Send. A full queue drops messages,
// which the consensus protocol tolerates.
type Senders struct {
	Peers lab.PeerClient
	// Timeout of a batch; below an election timeout, so that a silent connection is replaced in time.
	Timeout time.Duration
	// Go runs the sender of one address in the background until its context ends.
	Go func(run func(ctx context.Context))

	queues map[string]chan labreplica.Message // by address
}

// Send queues a message; it is called by the consensus goroutine only.
func (s *Senders) Send(address string, m labreplica.Message) {
	q, ok := s.queues[address]
	if !ok {
		if s.queues == nil {
			s.queues = map[string]chan labreplica.Message{}
		}

		q = make(chan labreplica.Message, queueLength)
		s.queues[address] = q
		s.Go(func(ctx context.Context) { s.run(ctx, address, q) })
	}

	select {
	case q <- m:
	default:
	}
}

func (s *Senders) run(ctx context.Context, address string, messages <-chan labreplica.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			s.sendBatch(ctx, address, collect(m, messages))
		}
	}
}

func collect(first labreplica.Message, messages <-chan labreplica.Message) Batch {
	b := Batch{Messages: []labreplica.Message{first}}

	for len(b.Messages) < batchLength {
		select {
		case m := <-messages:
			b.Messages = append(b.Messages, m)
		default:
			return b
		}
	}

	return b
}

func (s *Senders) sendBatch(ctx context.Context, address string, b Batch) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()

	// Lost messages are sent again by the consensus protocol's own timers.
	_ = s.Peers.Call(ctx, address, lab.MethodConsensus, b, nil)
}
