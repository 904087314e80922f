package labbudget

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	defaultRatio = 0.1 // retries per request
	defaultRate  = 1   // retries per second that are always allowed
	defaultBurst = 10  // retries that may be saved up
)

// RetryBudget is a token bucket: each request adds a fraction of a retry, and time adds a small minimum rate, so that a
// proxy with few requests can retry too. Exported fields are set before use.
type RetryBudget struct {
	Clock lab.Clock
	Ratio float64 // retries per request, 0.1 when zero
	Rate  float64 // retries per second without requests, 1 when zero
	Burst float64 // retries that may be saved up, 10 when zero

	lock        sync.Mutex
	initialised bool
	tokens      float64
	refilledAt  time.Duration
}

// RecordRequest records a first attempt.
func (b *RetryBudget) RecordRequest() {
	b.lock.Lock()
	defer b.lock.Unlock()

	b.initialise()
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	b.lock.Lock()
	defer b.lock.Unlock()

	b.initialise()

	now := b.Clock.Now()
	b.tokens = min(b.tokens+b.Rate*(now-b.refilledAt).Seconds(), b.Burst)
	b.refilledAt = now

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

func (b *RetryBudget) initialise() {
	if b.initialised {
		return
	}

	b.initialised = true
	b.refilledAt = b.Clock.Now()

	for _, d := range []struct {
		field *float64
		value float64
	}{{&b.Ratio, defaultRatio}, {&b.Rate, defaultRate}, {&b.Burst, defaultBurst}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}
