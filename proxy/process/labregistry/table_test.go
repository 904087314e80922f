package labregistry

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against a list of known placements that grows without bound. Each call that reserves a key carries the list.
func TestSettledPlacements(t *testing.T) {
	table := newEntryTable(&atomic.Int64{})
	for e := range uint64(10) {
		table.learnPlacements(0, lab.RegistryPlacement{Epoch: e + 1, Replicas: []lab.Instance{{ID: "a"}}})
	}

	table.markSettled(10)
	table.learnPlacements(0, lab.RegistryPlacement{Epoch: 9})
	assert.Equal(t, len(table.placements()), 1)
}

// Guards against removing the entry of a request that ran when a failed reservation of the same key is withdrawn late.
// A transfer can merge the two reservations into one entry.
func TestTokensOfOneKey(t *testing.T) {
	failed := &call{Key: "n", Token: token{1, 1}, Retention: 10}
	ran := token{2, 2}
	table := newEntryTable(&atomic.Int64{})
	assert.Equal(t, table.reserve(0, failed, 10).Status, statusOK)
	table.merge(0, []savedEntry{{Key: "n", Tokens: []token{ran}, TTL: 10}})
	table.withdraw(0, failed, time.Second)
	assert.DeepEqual(t, table.reserve(0, &call{Key: "n", Token: token{3, 3}}, 10), response{
		Status: statusDuplicate, Record: lab.IdempotencyRecord{State: lab.IdempotencyPending},
	})
	table.withdraw(0, &call{Key: "n", Token: ran}, time.Second)
	assert.Equal(t, len(table.entries), 0)
}

// Guards against a key that stays reserved although its request has not run: a reservation is complete when two of three
// replicas have it, so the withdrawal can reach the third replica first.
func TestWithdrawalBeforeReservation(t *testing.T) {
	late := &call{Key: "n", Token: token{1, 1}, Retention: time.Minute}
	next := &call{Key: "n", Token: token{2, 2}, Retention: time.Minute}

	t.Run("late reservation", func(t *testing.T) {
		table := newEntryTable(&atomic.Int64{})
		table.withdraw(0, late, time.Second)
		assert.Equal(t, table.reserve(0, late, 10).Status, statusWithdrawn)
		assert.Equal(t, len(table.entries), 0)
		assert.Equal(t, table.reserve(0, next, 10).Status, statusOK)
	})
	t.Run("reservation of another token", func(t *testing.T) {
		table := newEntryTable(&atomic.Int64{})
		assert.Equal(t, table.reserve(0, next, 10).Status, statusOK)
		table.withdraw(0, late, time.Second)
		assert.Equal(t, len(table.entries), 1)
		assert.Equal(t, table.reserve(0, late, 10).Status, statusWithdrawn)
	})
	t.Run("withdrawn tokens expire", func(t *testing.T) {
		table := newEntryTable(&atomic.Int64{})
		table.withdraw(0, late, time.Second)
		table.expire(time.Second)
		assert.Equal(t, len(table.withdrawn), 0)
	})
}
