package labrecord

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Promotion is the newest order of a service.
type Promotion struct {
	Service string `msgpack:"s"`
	Member  string `msgpack:"m"`
	Former  string `msgpack:"f"`
	Token   uint64 `msgpack:"t"`
	Done    bool   `msgpack:"d"`
}

// state is what a snapshot holds.
type state struct {
	Document   Document             `msgpack:"d"`
	Promotions map[string]Promotion `msgpack:"p"` // by service
}

// Record implements lab.StateMachine; its accessors may be called from any goroutine.
type Record struct {
	// Changed is called after each change of the state; it must not block.
	Changed func()

	mutex sync.Mutex
	state state
}

var _ lab.StateMachine = (*Record)(nil)

// Apply executes a command. A document returns whether it took effect, an order its fencing token.
func (r *Record) Apply(index uint64, command []byte) any {
	var c Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return errors.Newf("decode command %d: %w", index, err)
	}

	result := r.apply(index, c)

	if r.Changed != nil {
		r.Changed()
	}

	return result
}

func (r *Record) apply(index uint64, c Command) any {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.state.Promotions == nil {
		r.state.Promotions = map[string]Promotion{}
	}

	switch {
	case c.Document != nil:
		if c.Document.Version <= r.state.Document.Version {
			return false
		}

		r.state.Document = *c.Document

		return true
	case c.Order != nil:
		r.state.Promotions[c.Order.Service] = Promotion{
			Service: c.Order.Service, Member: c.Order.Member, Former: c.Order.Former, Token: index,
		}

		return index
	case c.Done != nil:
		p := r.state.Promotions[c.Done.Service]
		if p.Token != c.Done.Token {
			return false
		}

		p.Done = true
		r.state.Promotions[c.Done.Service] = p

		return true
	}

	return nil
}

// Snapshot encodes the whole state.
func (r *Record) Snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	b, err := msgpack.Marshal(r.state)
	if err != nil {
		return nil, errors.Newf("encode state: %w", err)
	}

	return b, nil
}

// Restore replaces the state by a snapshot's.
func (r *Record) Restore(snapshot []byte) error {
	var s state
	if err := msgpack.Unmarshal(snapshot, &s); err != nil {
		return errors.Newf("decode state: %w", err)
	}

	r.mutex.Lock()
	r.state = s
	r.mutex.Unlock()

	if r.Changed != nil {
		r.Changed()
	}

	return nil
}

// Document returns the newest document; its version is 0 before the first one.
func (r *Record) Document() Document {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.state.Document
}

// Promotion returns the newest order of a service.
func (r *Record) Promotion(service string) (Promotion, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	p, ok := r.state.Promotions[service]

	return p, ok
}
