package labregistry

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against a list of earlier placements that every reservation carries and that grows for ever.
func TestSettledPlacements(t *testing.T) {
	b := newBook(&atomic.Int64{})
	for e := range uint64(10) {
		b.learn(0, lab.RegistryPlacement{Epoch: e + 1, Replicas: []lab.Instance{{ID: "a"}}})
	}

	b.settle(10)
	b.learn(0, lab.RegistryPlacement{Epoch: 9})
	assert.Equal(t, len(b.placements()), 1)
}

// Guards against a failed reservation that is withdrawn late and takes the name of a request that ran with it, when a
// transfer brought the two together.
func TestTokensOfOneName(t *testing.T) {
	failed := &call{Key: "n", Token: token{1, 1}, Retention: 10}
	ran := token{2, 2}
	b := newBook(&atomic.Int64{})
	assert.Equal(t, b.reserve(0, failed, 10).Verdict, verdictDone)
	b.merge(0, []savedName{{Key: "n", Tokens: []token{ran}, Remain: 10}})
	b.withdraw(failed)
	assert.DeepEqual(t, b.reserve(0, &call{Key: "n", Token: token{3, 3}}, 10), answer{
		Verdict: verdictKnown, Record: lab.IdempotencyRecord{State: lab.IdempotencyPending},
	})
	b.withdraw(&call{Key: "n", Token: ran})
	assert.Equal(t, len(b.names), 0)
}
