package labgroupstate

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labchangelog"
)

// Promotion is the newest promotion order of a service.
type Promotion struct {
	Service       string `msgpack:"s"`
	Member        string `msgpack:"m"`
	FormerPrimary string `msgpack:"f"` // name of the primary when the order was recorded
	Address       string `msgpack:"a"` // address of the member
	Token         uint64 `msgpack:"t"` // fencing token of the order
	Confirmed     bool   `msgpack:"d"` // the member has become the primary
	// Bound is the position up to which commits were known to be acknowledged when the order was recorded.
	Bound lab.CommitPosition `msgpack:"r"`
}

// OpenOrders are the promotion orders for a member that can still take effect.
type OpenOrders struct {
	Member string `msgpack:"m"`
	Token  uint64 `msgpack:"t"` // highest fencing token of the orders
	Count  int    `msgpack:"c"`
}

// Leader is a member that has led a service.
type Leader struct {
	Member  string `msgpack:"m"`
	Address string `msgpack:"a"` // address at which it led
}

// ErrSuperseded is the result of an order if another one has been recorded since the sender last knew of one.
var ErrSuperseded = errors.New("another order has been recorded")

// contents holds the data of a State. A snapshot is its encoded form.
type contents struct {
	Document   Document                `msgpack:"d"`
	Promotions map[string]Promotion    `msgpack:"p"` // newest promotion order of each service, by service name
	Holders    map[string][]Holder     `msgpack:"h"` // holders of each service, sorted by address
	Primaries  map[string]Leader       `msgpack:"l"` // last member of each service that is known to have led
	Attempts   map[string]bool         `msgpack:"a"` // services whose replicas may be paused
	Open       map[string][]OpenOrders `msgpack:"o"` // open orders of each service
}

// State implements lab.StateMachine. Its methods are safe for concurrent use.
type State struct {
	// Changed is called after each change of the state. It must not block.
	Changed func()

	mutex      sync.Mutex
	contents   contents
	promotions labchangelog.Log // changes of contents.Promotions, by service
	holders    uint64           // number of changes of contents.Holders
}

var _ lab.StateMachine = (*State)(nil)

// Apply applies a command. For an order, it returns the fencing token, or ErrSuperseded. For a document or a confirmation, it returns
// whether the command changed the state. For an entry that can't be decoded, it returns an error.
func (r *State) Apply(index uint64, command []byte) any {
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

func (r *State) apply(index uint64, c Command) any {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.contents.initialize()

	switch {
	case c.Document != nil:
		if c.Document.Version <= r.contents.Document.Version {
			return false
		}

		r.contents.Document = *c.Document

		return true
	case c.Order != nil:
		if c.Order.Conditional && c.Order.After != r.contents.Promotions[c.Order.Service].Token {
			return ErrSuperseded
		}

		r.contents.Promotions[c.Order.Service] = Promotion{
			Service: c.Order.Service, Member: c.Order.Member, FormerPrimary: c.Order.FormerPrimary, Address: c.Order.Address,
			Token: index, Bound: c.Order.Bound,
		}
		r.contents.addOpen(c.Order.Service, c.Order.Member, index)
		r.promotions.Add(c.Order.Service)

		return index
	case c.OrderConfirmed != nil:
		p := r.contents.Promotions[c.OrderConfirmed.Service]
		if p.Token != c.OrderConfirmed.Token {
			return false
		}

		p.Confirmed = true
		r.contents.Promotions[p.Service], r.contents.Primaries[p.Service] = p, Leader{p.Member, p.Address}
		r.promotions.Add(p.Service)

		if c.OrderConfirmed.Answered {
			delete(r.contents.Open, p.Service)
		}

		return true
	case c.OrderRefused != nil:
		r.contents.removeOpen(c.OrderRefused.Service, c.OrderRefused.Token)

		return true
	case c.Holders != nil:
		r.contents.changeHolders(c.Holders)
		r.holders++

		return true
	case c.Attempt != nil:
		if c.Attempt.Open {
			r.contents.Attempts[c.Attempt.Service] = true
		} else {
			delete(r.contents.Attempts, c.Attempt.Service)
		}

		return true
	}

	return nil
}

// initialize creates the maps that a new state or an older snapshot lacks.
func (c *contents) initialize() {
	if c.Promotions == nil {
		c.Promotions = map[string]Promotion{}
	}

	if c.Holders == nil {
		c.Holders = map[string][]Holder{}
	}

	if c.Primaries == nil {
		c.Primaries = map[string]Leader{}
	}

	if c.Attempts == nil {
		c.Attempts = map[string]bool{}
	}

	if c.Open == nil {
		c.Open = map[string][]OpenOrders{}

		// A state of an earlier version knows only the newest order.
		for s, p := range c.Promotions {
			if !p.Confirmed {
				c.addOpen(s, p.Member, p.Token)
			}
		}
	}
}

func (c *contents) addOpen(service, member string, token uint64) {
	all := slices.Clone(c.Open[service])

	i := slices.IndexFunc(all, func(o OpenOrders) bool { return o.Member == member })
	if i < 0 {
		i, all = len(all), append(all, OpenOrders{Member: member})
	}

	all[i].Token, all[i].Count = token, all[i].Count+1
	c.Open[service] = all
}

// removeOpen removes an order. If it is not the newest one of its member, it stays: the count then only says that there may
// be one.
func (c *contents) removeOpen(service string, token uint64) {
	all := slices.Clone(c.Open[service])

	i := slices.IndexFunc(all, func(o OpenOrders) bool { return o.Token == token })
	if i < 0 {
		return
	}

	if all[i].Count--; all[i].Count == 0 {
		all = slices.Delete(all, i, i+1)
	}

	c.Open[service] = all
}

func (c *contents) changeHolders(change *HoldersChange) {
	for _, h := range change.Removed {
		c.Holders[h.Service] = slices.DeleteFunc(slices.Clone(c.Holders[h.Service]), func(o Holder) bool {
			return o.Address == h.Address && o.Member == h.Member
		})

		if len(c.Holders[h.Service]) == 0 {
			delete(c.Holders, h.Service)
			delete(c.Primaries, h.Service)
		}
	}

	for _, h := range change.Set {
		all := slices.DeleteFunc(slices.Clone(c.Holders[h.Service]), func(o Holder) bool { return o.Address == h.Address })
		all = append(all, h)
		slices.SortFunc(all, func(a, b Holder) int { return strings.Compare(a.Address, b.Address) })
		c.Holders[h.Service] = all

		// The first primary is the only one that no order names.
		if _, known := c.Primaries[h.Service]; h.Primary && !known {
			c.Primaries[h.Service] = Leader{h.Member, h.Address}
		}
	}
}

// Snapshot encodes the whole state.
func (r *State) Snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	b, err := msgpack.Marshal(r.contents)
	if err != nil {
		return nil, errors.Newf("encode state: %w", err)
	}

	return b, nil
}

// Restore replaces the state by the state in a snapshot.
func (r *State) Restore(snapshot []byte) error {
	var s contents
	if err := msgpack.Unmarshal(snapshot, &s); err != nil {
		return errors.Newf("decode state: %w", err)
	}

	r.mutex.Lock()
	r.contents = s
	r.promotions.Reset()
	r.holders++
	r.mutex.Unlock()

	if r.Changed != nil {
		r.Changed()
	}

	return nil
}

// Service is what a State knows of a service.
type Service struct {
	Promotion   Promotion // newest promotion order, if Ordered is set
	Ordered     bool
	Primary     Leader   // last member that is known to have led, empty if none is
	AttemptOpen bool     // replicas may be paused
	Holders     []Holder // must not be changed
}

// Service returns what the state knows of a service.
func (r *State) Service(name string) Service {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	p, ordered := r.contents.Promotions[name]

	return Service{p, ordered, r.contents.Primaries[name], r.contents.Attempts[name], r.contents.Holders[name]}
}

// Document returns the newest document. Its version is 0 if there is none yet.
func (r *State) Document() Document {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.contents.Document
}

// Promotion returns the newest promotion order of a service.
func (r *State) Promotion(service string) (Promotion, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	p, ok := r.contents.Promotions[service]

	return p, ok
}

// Holders returns the holders of all services, by service name.
func (r *State) Holders() map[string][]Holder {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return maps.Clone(r.contents.Holders)
}

// PromotionsSince returns the services whose newest promotion order was recorded or confirmed after a revision, and the
// present revision. It returns false if they are not known any more. Revisions are not part of the replicated state.
func (r *State) PromotionsSince(revision uint64) (services []string, now uint64, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	services, known = r.promotions.Since(revision)

	return services, r.promotions.Revision(), known
}

// HoldersRevision returns a number that grows with each change of the holders.
func (r *State) HoldersRevision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.holders
}

// Primary returns the last member of a service that is known to have led. It is empty if none is known.
func (r *State) Primary(service string) Leader {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.contents.Primaries[service]
}

// AttemptOpen reports whether replicas of a service may be paused.
func (r *State) AttemptOpen(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.contents.Attempts[service]
}

// OpenOrders returns the orders of a service that can still take effect, by member.
func (r *State) OpenOrders(service string) []OpenOrders {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.contents.initialize()

	return r.contents.Open[service]
}
