package labkeeper

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	// sendTimeout is below the election timeout, so that a silent connection is replaced in time.
	sendTimeout = 350 * time.Millisecond
	queueLength = 256
	batchLength = 64
)

// senders pass consensus messages on, one batch at a time for each peer. A full queue drops messages, which the
// consensus protocol tolerates.
type senders struct {
	peers   lab.Peers
	context context.Context
	queues  map[string]chan labreplica.Message // by address; used by the consensus goroutine only
}

func (q *senders) send(to lab.InstanceID, m labreplica.Message) {
	address := labvoters.Address(to)

	c, ok := q.queues[address]
	if !ok {
		if q.queues == nil {
			q.queues = map[string]chan labreplica.Message{}
		}

		c = make(chan labreplica.Message, queueLength)
		q.queues[address] = c

		go q.run(address, c)
	}

	select {
	case c <- m:
	default:
	}
}

func (q *senders) run(address string, messages <-chan labreplica.Message) {
	for {
		select {
		case <-q.context.Done():
			return
		case m := <-messages:
			q.call(address, collect(m, messages))
		}
	}
}

func collect(first labreplica.Message, messages <-chan labreplica.Message) batch {
	b := batch{Messages: []labreplica.Message{first}}

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

func (q *senders) call(address string, b batch) {
	ctx, cancel := context.WithTimeout(q.context, sendTimeout)
	defer cancel()

	// Lost messages are sent again by the consensus protocol's own timers.
	_ = q.peers.Call(ctx, address, lab.MethodConsensus, b, nil)
}
