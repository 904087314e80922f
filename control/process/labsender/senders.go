package labsender

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	queueLength = 1024 // maximum number of queued messages per address
	batchLength = 256  // maximum number of messages in a batch
)

// Batch holds messages of one sender in the order in which they were sent. It is the request of lab.MethodConsensus.
type Batch struct {
	Messages []labreplica.Message `msgpack:"m"`
}

// Senders sends one batch at a time to each address. A full queue drops messages, which the consensus algorithm
// tolerates. The exported fields must be set before the first call of Send.
type Senders struct {
	Peers lab.PeerClient
	// Timeout is the timeout of a batch. It must be shorter than the upper bound of the election timeout, so that a
	// connection without responses is usually replaced before an election starts.
	Timeout time.Duration
	// Go calls run in a new goroutine. The context that it passes to run ends when the sender must stop.
	Go func(run func(ctx context.Context))

	queues map[string]chan labreplica.Message // by address
}

// Send queues a message for an address. It is called by the consensus goroutine only.
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

	// The error is ignored because the consensus algorithm sends lost messages again after its own timeouts.
	_ = s.Peers.Call(ctx, address, lab.MethodConsensus, b, nil)
}
