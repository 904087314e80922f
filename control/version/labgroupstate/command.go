package labgroupstate

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Document       *Document       `msgpack:"d,omitempty"`
	Order          *Order          `msgpack:"o,omitempty"`
	OrderConfirmed *OrderConfirmed `msgpack:"f,omitempty"`
}

// Document is a configuration document as the operator sent it, in compressed form.
type Document struct {
	Version uint64 `msgpack:"v"`
	Packed  []byte `msgpack:"s"`
}

// Order records that a promotion is about to be ordered. Its fencing token is the index of its log entry.
type Order struct {
	Service       string `msgpack:"s"`
	Member        string `msgpack:"m"`
	FormerPrimary string `msgpack:"f"` // primary at the time of the order
}

// OrderConfirmed records that the promotion of an order was confirmed.
type OrderConfirmed struct {
	Service string `msgpack:"s"`
	Token   uint64 `msgpack:"t"` // fencing token of the order
}

// Encode returns the command as an entry of the replicated log.
func (c Command) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return b, nil
}
