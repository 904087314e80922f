package labregistry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// These errors are allocated once, since a client may resend a rejected request in a loop.
var (
	errNoQuorum     = lab.NotRunError(lab.ReasonNoRegistry, errors.New("too few replicas recorded the idempotency key"))
	errRegistryFull = lab.NotRunError(lab.ReasonOverload, errors.New("the idempotency registry is full"))
	errKeyLength    = lab.NotRunError(lab.ReasonRejected, errors.New("the idempotency key is empty or too long"))
)

var errNotReserved = errors.New("the idempotency key is not reserved by this process")

// Reserve records a key on two replicas in different availability zones. It must be called before the key's request is
// dispatched. A retention of zero means r.Retention. Reserve returns IdempotencyNew when the request may be dispatched,
// and IdempotencyPending or IdempotencyDone when the request must not be dispatched.
func (r *Registry) Reserve(
	ctx context.Context, organisation, database, key string, retention time.Duration,
) (lab.IdempotencyRecord, error) {
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

// entryKey joins an organisation and an idempotency key. The length prefix ensures that two different pairs never have
// the same entry key.
func entryKey(organisation, key string) string {
	return strconv.Itoa(len(organisation)) + " " + organisation + " " + key
}

// learnPlacement adds the placement of a call to the known placements and returns all known placements. The call
// carries them, so that the called replicas learn of earlier placements.
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

	// A request with an unknown outcome is never resolved, so its reservation stays in the map. When the map has
	// reached its limit, the expired reservations are dropped.
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

// Resolve stores the outcome of a key that this process reserved. IdempotencyDone stores the command tag,
// IdempotencyNotRun frees the key, and any other state leaves the key reserved until its retention ends.
func (r *Registry) Resolve(
	ctx context.Context, organisation, database, key string, record lab.IdempotencyRecord,
) error {
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

	if t := r.callReplicas(ctx, c); t.executed < quorum {
		return errors.Newf("resolve idempotency key: %d of %d replicas stored the outcome", t.executed, len(p.Replicas))
	}

	return nil
}

// dropEarlierPlacements drops the placements before the placement of a call that has recorded a key. They are not
// needed any more, because a replica records keys only after it has all entries of earlier epochs. A process that is
// itself a replica keeps them until its own transfer is complete.
func (r *Registry) dropEarlierPlacements(c *call) {
	if r.isIntactReplica(c.Placement) {
		return
	}

	t := r.table(c.Database)
	t.lock.Lock()
	defer t.lock.Unlock()

	t.markSettled(c.Placement.Epoch)
}

// withdraw removes a failed reservation from the replicas in the background. It waits until the calls of the
// reservation have ended, so that none of them can record the key after the withdrawal.
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
