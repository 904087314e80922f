package labbudget_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab/proxy/process/labbudget"
)

// simulatedClock is a clock whose time changes only when the test sets it.
type simulatedClock struct{ now time.Duration }

func (c *simulatedClock) Now() time.Duration                         { return c.now }
func (c *simulatedClock) Wall() time.Time                            { return time.Time{} }
func (c *simulatedClock) Sleep(context.Context, time.Duration) error { return nil }

// Guards against retries that multiply the load on a failing upstream.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &simulatedClock{now: time.Hour}
		b := &labbudget.RetryBudget{Clock: c}
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				b.RecordRequest()
				requests++
			},
			"retry": func(*rapid.T) {
				if b.TakeRetry() {
					retries++
				}
			},
			"pass": func(t *rapid.T) { c.now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond },
		})

		bound := float64(requests)*0.1 + (c.now - time.Hour).Seconds()
		assert.Assert(t, float64(retries) <= bound+1e-6, "%d retries, bound %.2f", retries, bound)
	})
}

// Guards against a budget that rejects retries within its ratio, rate or burst.
func TestBudgetGrants(t *testing.T) {
	allowed := func(b *labbudget.RetryBudget) int {
		n := 0
		for b.TakeRetry() {
			n++
		}

		return n
	}

	t.Run("a tenth of the requests", func(t *testing.T) {
		b := &labbudget.RetryBudget{Clock: &simulatedClock{}}
		for range 51 {
			b.RecordRequest()
		}

		assert.Equal(t, allowed(b), 5)
	})
	t.Run("minimum rate", func(t *testing.T) {
		c := &simulatedClock{}
		b := &labbudget.RetryBudget{Clock: c}
		assert.Equal(t, allowed(b), 0)

		c.now = 3 * time.Second
		assert.Equal(t, allowed(b), 3)
	})
	t.Run("burst", func(t *testing.T) {
		c := &simulatedClock{}
		b := &labbudget.RetryBudget{Clock: c}
		assert.Equal(t, allowed(b), 0)

		c.now = time.Hour
		assert.Equal(t, allowed(b), 10)
	})
}
