package labregistry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Refusals are prepared, since a client may resend in a loop.
var (
	errNoHolders = lab.NotRunError(lab.ReasonNoRegistry, errors.New("too few registry holders recorded the name"))
	errFull      = lab.NotRunError(lab.ReasonOverload, errors.New("the registry is full"))
	errTooLong   = lab.NotRunError(lab.ReasonRejected, errors.New("the request name is empty or too long"))
)

var errNotReserved = errors.New("the name is not reserved by this process")

// Reserve records a name on two holders in different zones before its request is dispatched. A retention of zero means
// Retention. It returns OnceNew when the request may be dispatched, and OncePending or OnceDone when it must not.
func (r *Registry) Reserve(ctx context.Context, organisation, database, name string, retention time.Duration) (lab.IdempotencyRecord, error) {
	p, ok := r.placement(database)
	if !ok || len(p.Replicas) < quorum {
		return lab.IdempotencyRecord{}, errNoHolders
	}

	if name == "" || len(name) > maxNameBytes {
		return lab.IdempotencyRecord{}, errTooLong
	}

	if retention <= 0 {
		retention = r.Retention
	}

	c := &call{
		Operation: operationReserve, Database: database, Placement: p, Key: keyOf(organisation, name),
		Token: token{r.Random.Uint64(), r.Random.Uint64()}, Retention: min(retention, r.MaxRetention),
	}
	c.Known = r.learned(c)

	v := r.ask(ctx, c)
	record, err := v.result()

	if err != nil || record.State != lab.IdempotencyNew {
		r.withdraw(ctx, c, v.ended)
		return record, err
	}

	r.settle(c)
	r.hold(c)

	return record, nil
}

// keyOf joins organisation and name without ambiguity.
func keyOf(organisation, name string) string {
	return strconv.Itoa(len(organisation)) + " " + organisation + " " + name
}

// learned notes the placement that this process uses, so that it can tell holders of earlier ones.
func (r *Registry) learned(c *call) []lab.RegistryPlacement {
	b := r.book(c.Database)
	b.lock.Lock()
	defer b.lock.Unlock()

	b.learn(r.Clock.Now(), c.Placement)

	return b.placements()
}

func (r *Registry) hold(c *call) {
	now := r.Clock.Now()
	s := r.shard(c.Database)
	s.lock.Lock()
	defer s.lock.Unlock()

	// Requests of unknown outcome are never resolved; their tokens are dropped when the map gets large.
	if int64(len(s.held)) >= r.Limit/shards+1 {
		for k, h := range s.held {
			if h.expiry <= now {
				delete(s.held, k)
			}
		}
	}

	s.held[heldKey{c.Database, c.Key}] = heldToken{c.Token, c.Retention, now + c.Retention}
}

func (r *Registry) unhold(database, key string) (heldToken, bool) {
	s := r.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()

	k := heldKey{database, key}
	h, ok := s.held[k]
	delete(s.held, k)

	return h, ok
}

// Resolve stores the outcome of a name that this process reserved. OnceDone stores the tag, OnceNotRun frees the name,
// and OncePending leaves it reserved for its retention.
func (r *Registry) Resolve(ctx context.Context, organisation, database, name string, record lab.IdempotencyRecord) error {
	key := keyOf(organisation, name)
	h, ok := r.unhold(database, key)

	p, found := r.placement(database)
	if !found {
		return errNoHolders
	}

	c := &call{Database: database, Placement: p, Key: key, Token: h.token, Retention: h.retention, Record: record}

	switch record.State {
	case lab.IdempotencyDone:
		c.Operation = operationResolve
		c.Record.CommandTag = record.CommandTag[:min(len(record.CommandTag), maxTagBytes)]

		if !ok {
			c.Retention = r.Retention
		}
	case lab.IdempotencyNotRun:
		if !ok {
			return errNotReserved
		}

		c.Operation = operationWithdraw
	default:
		return nil
	}

	if v := r.ask(ctx, c); v.recorded < quorum {
		return errors.Newf("resolve request name: %d of %d holders answered", v.recorded, len(p.Replicas))
	}

	return nil
}

// settle forgets placements before one whose holders have just recorded a name, and so have all earlier names. A process
// that is a holder itself keeps them until its own transfer has ended.
func (r *Registry) settle(c *call) {
	if r.listed(c.Placement) {
		return
	}

	b := r.book(c.Database)
	b.lock.Lock()
	defer b.lock.Unlock()

	b.settle(c.Placement.Epoch)
}

// withdraw frees a name in the background after a reservation that did not succeed, once its calls have ended.
func (r *Registry) withdraw(ctx context.Context, c *call, ended *sync.WaitGroup) {
	w := *c
	w.Operation = operationWithdraw

	go func() {
		ended.Wait()

		for _, h := range c.Placement.Replicas {
			go func() { _, _ = r.send(context.WithoutCancel(ctx), h, &w) }()
		}
	}()
}
