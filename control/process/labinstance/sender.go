package labinstance

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	// sendTimeout is shorter than an election timeout's upper bound, so that a silent connection is replaced in time.
	sendTimeout = 400 * time.Millisecond
	queueLength = 1024
	batchLength = 256
)

// batch carries consensus messages of one sender in order.
type batch struct {
	Messages []labreplica.Message `msgpack:"m"`
}

// senders holds one sender for each address in use; start is set before the first send.
type senders struct {
	start     func(s *sender)
	byAddress map[string]*sender
}

// send is called by the consensus goroutine only.
func (q *senders) send(peers lab.Peers, address string, m labreplica.Message) {
	s, ok := q.byAddress[address]
	if !ok {
		if q.byAddress == nil {
			q.byAddress = map[string]*sender{}
		}

		s = newSender(peers, address)
		q.byAddress[address] = s
		q.start(s)
	}

	s.send(m)
}

// sender passes consensus messages to one peer, one batch at a time. A full queue drops messages, which the consensus
// protocol tolerates.
type sender struct {
	address  string
	peers    lab.Peers
	messages chan labreplica.Message
}

func newSender(peers lab.Peers, address string) *sender {
	return &sender{address: address, peers: peers, messages: make(chan labreplica.Message, queueLength)}
}

func (s *sender) send(m labreplica.Message) {
	select {
	case s.messages <- m:
	default:
	}
}

func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.messages:
			s.call(ctx, s.collect(m))
		}
	}
}

func (s *sender) collect(first labreplica.Message) batch {
	b := batch{Messages: []labreplica.Message{first}}

	for len(b.Messages) < batchLength {
		select {
		case m := <-s.messages:
			b.Messages = append(b.Messages, m)
		default:
			return b
		}
	}

	return b
}

func (s *sender) call(ctx context.Context, b batch) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	// Lost messages are sent again by the consensus protocol's own timers.
	_ = s.peers.Call(ctx, s.address, lab.MethodConsensus, b, nil)
}
