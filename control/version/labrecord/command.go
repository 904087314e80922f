package labrecord

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Command is one entry of the log; exactly one field is set.
type Command struct {
	Document *Document  `msgpack:"d,omitempty"`
	Order    *Order     `msgpack:"o,omitempty"`
	Done     *OrderDone `msgpack:"f,omitempty"`
}

// Document is a configuration as the operator sent it, compressed.
type Document struct {
	Version uint64 `msgpack:"v"`
	Packed  []byte `msgpack:"s"`
}

// Order announces that a promotion is about to be called. Its fencing token is the index of its log entry.
type Order struct {
	Service       string `msgpack:"s"`
	Member        string `msgpack:"m"`
	FormerPrimary string `msgpack:"f"` // primary when the order was given
}

// OrderDone records that the promotion of an order was confirmed.
type OrderDone struct {
	Service string `msgpack:"s"`
	Token   uint64 `msgpack:"t"` // of the order
}

// Encode returns the log form of the command.
func (c Command) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return b, nil
}
