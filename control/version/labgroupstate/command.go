package labgroupstate

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Document       *Document       `msgpack:"d,omitempty"`
	Order          *Order          `msgpack:"o,omitempty"`
	OrderConfirmed *OrderConfirmed `msgpack:"f,omitempty"`
	OrderRefused   *OrderRefused   `msgpack:"r,omitempty"`
	Holders        *HoldersChange  `msgpack:"h,omitempty"`
	Attempt        *Attempt        `msgpack:"a,omitempty"`
}

// Document is one version of the configuration document.
type Document struct {
	Version uint64 `msgpack:"v"`
	Packed  []byte `msgpack:"s"` // compressed text of the document as the operator sent it
}

// Order records a promotion order before the order is sent to the platform. The fencing token of the order is the index
// of this log entry.
type Order struct {
	Service       string `msgpack:"s"`
	Member        string `msgpack:"m"` // name of the member to promote
	FormerPrimary string `msgpack:"f"` // name of the primary when the order was recorded
	Address       string `msgpack:"a"` // address of the member to promote
	// Bound is the position up to which commits were known to be acknowledged when the order was recorded.
	Bound lab.CommitPosition `msgpack:"r"`
	// After is the fencing token of the newest order that the sender knows, 0 if none. The order is refused if there is
	// another one. Orders of earlier versions have no condition.
	After       uint64 `msgpack:"n,omitempty"`
	Conditional bool   `msgpack:"c,omitempty"`
}

// OrderConfirmed records that the member named by an order has become the primary, and that no open order names another one.
type OrderConfirmed struct {
	Service string `msgpack:"s"`
	Token   uint64 `msgpack:"t"` // fencing token of the order
	// Answered is true if the platform has answered the order. No earlier order can take effect then.
	Answered bool `msgpack:"a,omitempty"`
}

// OrderRefused records that an order can't take effect, since the platform has refused it or it was never sent.
type OrderRefused struct {
	Service string `msgpack:"s"`
	Token   uint64 `msgpack:"t"` // fencing token of the order
}

// Holder is a member whose log can have acknowledged commits of a service. A service has one holder at an address, since a
// member that starts at the address of one that has ended has its log.
type Holder struct {
	Service string `msgpack:"s"`
	Member  string `msgpack:"m"`
	Address string `msgpack:"a"`
	Region  string `msgpack:"r"`
	Primary bool   `msgpack:"p,omitempty"` // the member announced itself as the primary
}

// HoldersChange records the holders that have become known, and those that have no commit that another holder lacks.
type HoldersChange struct {
	Set     []Holder `msgpack:"s,omitempty"`
	Removed []Holder `msgpack:"r,omitempty"` // a holder is removed only if Member is still the one at the address
}

// Attempt records that replicas of a service may be paused from now on, or that all of them have been resumed.
type Attempt struct {
	Service string `msgpack:"s"`
	Open    bool   `msgpack:"o"`
}

// Encode returns the command as an entry of the replicated log.
func (c Command) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return b, nil
}
