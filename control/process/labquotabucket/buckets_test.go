package labquotabucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

const start = time.Minute

var policies = map[string]lab.OrganisationPolicy{
	"o": {Name: "o", Rate: 10, Burst: 20}, "free": {Name: "free"}, "small": {Name: "small", Rate: 0.1},
}

func policy(name string) (lab.OrganisationPolicy, bool) {
	p, ok := policies[name]

	return p, ok
}

// assertGranted requests tokens for an organisation and checks the number of granted ones, and whether others are refused.
func assertGranted(t *testing.T, b *Buckets, i lab.QuotaItem, now time.Duration, want int) lab.QuotaResponse {
	t.Helper()

	a, granted := b.Exchange(lab.QuotaRequest{Instance: "i", Items: []lab.QuotaItem{i}}, policy, now), 0
	for _, g := range a.Grants {
		granted += g.Granted
	}

	assert.Equal(t, granted, want)
	assert.Equal(t, len(a.Refusals) > 0, want < i.Need)

	return a
}

func TestBuckets(t *testing.T) {
	t.Run("a new leader grants only the refill", func(t *testing.T) {
		b := &Buckets{Since: start}
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 5}, start, 0)
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 50}, start+time.Second, 10)
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 50}, start+time.Minute, 10) // 10 are outstanding
	})

	t.Run("a former leader may go on", func(t *testing.T) {
		b := &Buckets{Since: start, Overlap: 500 * time.Millisecond}
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 50}, start+time.Second, 5)

		// The tolerance covers that time for small organisations.
		b = &Buckets{Since: start, Overlap: 500 * time.Millisecond, Tolerance: lab.QuotaTolerance{Headroom: 40}}
		assertGranted(t, b, lab.QuotaItem{Organisation: "small", Need: 50}, start, 5)
	})

	t.Run("reports", func(t *testing.T) {
		b := &Buckets{Since: 0}
		a := assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 20}, start, 20)
		n := a.Grants[0].Number
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 1}, start+time.Second, 0)
		// Returned tokens can be granted at once, spent ones make room for the refill.
		assertGranted(t, b, lab.QuotaItem{
			Organisation: "o", Need: 20, Reports: []lab.QuotaReport{{Number: n, Spent: 15, Returned: 5}},
		}, start+time.Second, 5)
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 20}, start+2*time.Second, 10)
	})

	// A holder that is cut off may have spent its tokens.
	t.Run("without a report tokens count as spent", func(t *testing.T) {
		b := &Buckets{Since: 0}
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 20}, start, 20)

		end := start + validity + accountingMargin
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 1}, end-1, 0)
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 20}, end, 0)
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 20}, end+time.Second, 10)
	})

	t.Run("in advance", func(t *testing.T) {
		b := &Buckets{Since: 0}
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 4, Want: 20}, start, 12) // half of the rest
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 8}, start, 8)
	})

	t.Run("a lowered limit", func(t *testing.T) {
		defer func(p lab.OrganisationPolicy) { policies["o"] = p }(policies["o"])

		b := &Buckets{Since: 0}
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 5}, start, 5)

		policies["o"] = lab.OrganisationPolicy{Name: "o", Rate: 1, Burst: 6}
		assertGranted(t, b, lab.QuotaItem{Organisation: "o", Need: 20}, start, 1)
	})

	t.Run("other organisations", func(t *testing.T) {
		b := &Buckets{Since: 0}
		assertGranted(t, b, lab.QuotaItem{Organisation: "unknown", Need: 1}, start, 0)
		assertGranted(t, b, lab.QuotaItem{Organisation: "free", Need: 100}, start, 100)
		assertGranted(t, b, lab.QuotaItem{Organisation: "small", Need: 2}, start, 1) // has neither burst nor tolerance
	})
}
