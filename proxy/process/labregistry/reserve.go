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
	errNoQuorum     = lab.NotRunError(lab.ReasonNoRegistry, errors.New("too few registry holders recorded the name"))
	errRegistryFull = lab.NotRunError(lab.ReasonOverload, errors.New("the registry is full"))
	errKeyLength    = lab.NotRunError(lab.ReasonRejected, errors.New("the request name is empty or too long"))
)

var errNotReserved = errors.New("the name is not reserved by this process")

// Reserve records a name on two holders in different zones before its request is dispatched. A retention of zero means
// Retention. It returns OnceNew when the request may be dispatched, and OncePending or OnceDone when it must not.
func (r *Registry) Reserve(ctx context.Context, organisation, database, key string, retention time.Duration) (lab.IdempotencyRecord, error) {
	p, ok := r.placement(database)
	if !ok || len(p.Replicas) < quorum {
		return lab.IdempotencyRecord{}, errNoQuorum
	}

	if key == "" || len(key) > maxKeyBytes {
		return lab.IdempotencyRecord{}, errKeyLength
	}

	if retention <= 0 {
		retention = r.Retention
	}

	c := &call{
		Operation: operationReserve, Database: database, Placement: p, Key: entryKey(organisation, key),
		Token: token{r.Random.Uint64(), r.Random.Uint64()}, Retention: min(retention, r.MaxRetention),
	}
	c.KnownPlacements = r.learnPlacement(c)

	t := r.callReplicas(ctx, c)
	record, err := t.result()

	if err != nil || record.State != lab.IdempotencyNew {
		r.withdraw(ctx, c, t.pending)
		return record, err
	}

	r.dropEarlierPlacements(c)
	r.addReservation(c)

	return record, nil
}

// entryKey joins organisation and name without ambiguity.
func entryKey(organisation, key string) string {
	return strconv.Itoa(len(organisation)) + " " + organisation + " " + key
}

// learnPlacement notes the placement that this process uses, so that it can tell holders of earlier ones.
func (r *Registry) learnPlacement(c *call) []lab.RegistryPlacement {
	t := r.table(c.Database)
	t.lock.Lock()
	defer t.lock.Unlock()

	t.learnPlacements(r.Clock.Now(), c.Placement)

	return t.placements()
}

func (r *Registry) addReservation(c *call) {
	now := r.Clock.Now()
	s := r.shard(c.Database)
	s.lock.Lock()
	defer s.lock.Unlock()

	// Requests of unknown outcome are never resolved; their tokens are dropped when the map gets large.
	if int64(len(s.reservations)) >= r.MaxEntries/shards+1 {
		for k, res := range s.reservations {
			if res.expiry <= now {
				delete(s.reservations, k)
			}
		}
	}

	s.reservations[reservationKey{c.Database, c.Key}] = reservation{c.Token, c.Retention, now + c.Retention}
}

func (r *Registry) removeReservation(database, key string) (reservation, bool) {
	s := r.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()

	k := reservationKey{database, key}
	res, ok := s.reservations[k]
	delete(s.reservations, k)

	return res, ok
}

// Resolve stores the outcome of a name that this process reserved. OnceDone stores the tag, OnceNotRun frees the name,
// and OncePending leaves it reserved for its retention.
func (r *Registry) Resolve(ctx context.Context, organisation, database, key string, record lab.IdempotencyRecord) error {
	k := entryKey(organisation, key)
	res, ok := r.removeReservation(database, k)

	p, found := r.placement(database)
	if !found {
		return errNoQuorum
	}

	c := &call{Database: database, Placement: p, Key: k, Token: res.token, Retention: res.retention, Record: record}

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

	if t := r.callReplicas(ctx, c); t.recorded < quorum {
		return errors.Newf("resolve request name: %d of %d holders answered", t.recorded, len(p.Replicas))
	}

	return nil
}

// dropEarlierPlacements forgets placements before one whose holders have just recorded a name, and so have all earlier names. A process
// that is a holder itself keeps them until its own transfer has ended.
func (r *Registry) dropEarlierPlacements(c *call) {
	if r.isIntactReplica(c.Placement) {
		return
	}

	t := r.table(c.Database)
	t.lock.Lock()
	defer t.lock.Unlock()

	t.markSettled(c.Placement.Epoch)
}

// withdraw frees a name in the background after a reservation that did not succeed, once its calls have ended.
func (r *Registry) withdraw(ctx context.Context, c *call, calls *sync.WaitGroup) {
	w := *c
	w.Operation = operationWithdraw

	go func() {
		calls.Wait()

		for _, i := range c.Placement.Replicas {
			go func() { _, _ = r.callReplica(context.WithoutCancel(ctx), i, &w) }()
		}
	}()
}
