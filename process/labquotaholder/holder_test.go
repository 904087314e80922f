package labquotaholder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

const start = time.Minute

// hold returns a holder with tokens of a grant 1 of the instance i.
func hold(n int) *Holder {
	h := &Holder{Instance: "h", Horizon: time.Second, Average: time.Second, Minimum: 2}
	r := lab.QuotaRequest{Items: []lab.QuotaItem{{Organisation: "o"}}}
	h.Apply("i", r, lab.QuotaResponse{Grants: []lab.QuotaGrant{{Number: 1, Granted: n, ValidFor: time.Second}}}, start, start)

	return h
}

func assertTaken(t *testing.T, h *Holder, n, want int, valid, now time.Duration) lab.QuotaToken {
	t.Helper()

	token, taken, _ := h.Take("o", n, valid, now)
	assert.Equal(t, taken, want)

	return token
}

// assertReports checks the reports in the next request to an instance.
func assertReports(t *testing.T, h *Holder, source string, now time.Duration, want ...lab.QuotaReport) lab.QuotaRequest {
	t.Helper()

	var got []lab.QuotaReport

	r, _ := h.Request(source, now)
	for _, i := range r.Items {
		got = append(got, i.Reports...)
	}

	assert.Equal(t, len(got), len(want), "%v", got)

	for i, w := range want {
		assert.Equal(t, got[i], w)
	}

	return r
}

func TestHolder(t *testing.T) {
	t.Run("tokens expire", func(t *testing.T) {
		h, expired := hold(3), 0
		h.OnExpired = func(_ string, n int) { expired += n }
		assertTaken(t, h, 1, 1, 0, start+time.Second-1)
		assertTaken(t, h, 1, 0, 100*time.Millisecond, start+950*time.Millisecond)
		assertTaken(t, h, 1, 0, 0, start+time.Second)
		assert.Equal(t, expired, 2)
		assertReports(t, h, "i", start+time.Second, lab.QuotaReport{Number: 1, Returned: 2})
	})

	// A lost response must not lose the report, and another instance can't use it.
	t.Run("reports are repeated until they are answered", func(t *testing.T) {
		h := hold(3)
		h.Settle(assertTaken(t, h, 2, 2, 0, start), 2, 0, start)

		want := lab.QuotaReport{Number: 1, Spent: 2}
		h.Done(assertReports(t, h, "i", start, want))
		assertReports(t, h, "j", start)

		r := assertReports(t, h, "i", start, want)
		h.Apply("i", r, lab.QuotaResponse{}, start, start)
		assertReports(t, h, "i", start)
	})

	t.Run("a token that comes back can be taken until it expires", func(t *testing.T) {
		h := hold(1)
		h.Settle(assertTaken(t, h, 1, 1, 0, start), 0, 1, start)
		token := assertTaken(t, h, 1, 1, 0, start)
		h.Settle(token, 0, 1, start+time.Second)
		assertTaken(t, h, 1, 0, 0, start+time.Second)
		assertReports(t, h, "i", start+time.Second, lab.QuotaReport{Number: 1, Returned: 1})
	})

	t.Run("needs are requested once", func(t *testing.T) {
		h := hold(0)
		need := func(want int) lab.QuotaRequest {
			t.Helper()

			r, ok := h.Request("i", start)
			assert.Equal(t, ok, want > 0)

			if ok {
				assert.Equal(t, r.Items[0].Need, want)
			}

			return r
		}

		h.Await("o", 2, start)
		r := need(2)
		need(0)
		h.Await("o", 1, start)
		need(1)
		h.Done(r)
		need(2)

		// Requests of operations that have given up don't cover later ones.
		h.Await("o", -3, start)
		h.Await("o", 1, start)
		need(1)
	})

	t.Run("a refusal ends", func(t *testing.T) {
		h := hold(0)
		h.Await("o", 1, start)
		r, _ := h.Request("i", start)
		h.Done(r)
		h.Apply("i", r, lab.QuotaResponse{Refusals: []lab.QuotaRefusal{{RetryAfter: time.Second}}}, start, start)

		_, refused := h.Refused("o", start+time.Second-1)
		assert.Assert(t, refused)

		_, ok := h.Request("i", start+time.Second-1)
		assert.Assert(t, !ok)

		_, refused = h.Refused("o", start+time.Second)
		assert.Assert(t, !refused)

		_, ok = h.Request("i", start+time.Second)
		assert.Assert(t, ok)
	})

	t.Run("tokens in advance", func(t *testing.T) {
		h := hold(10)
		assertTaken(t, h, 1, 1, 0, start)
		assert.Assert(t, !h.Low("o", start), "a rare operation binds no further tokens")
		assertTaken(t, h, 9, 9, 0, start)
		assert.Assert(t, h.Low("o", start))

		r, _ := h.Request("i", start)
		assert.Equal(t, r.Items[0].Want, 10)
		assert.Assert(t, !h.Low("o", start), "they are requested already")
	})
}
