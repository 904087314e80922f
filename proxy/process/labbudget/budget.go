package labbudget

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	defaultRatio = 0.1 // retries per request
	defaultRate  = 1   // retries per second, independent of requests
	defaultBurst = 10  // unused retries that the budget can hold
)

// RetryBudget is a token bucket for retries. Each request adds a fraction of a retry. In addition, retries are added at
// a small constant rate, so that a proxy with few requests can retry too. The exported fields must be set before use.
type RetryBudget struct {
	Clock lab.Clock
	Ratio float64 // retries added per request; 0 stands for 0.1
	Rate  float64 // retries added per second; 0 stands for 1
	Burst float64 // unused retries that the budget can hold; 0 stands for 10

	lock        sync.Mutex
	initialised bool
	tokens      float64       // unused retries
	refilledAt  time.Duration // value of Clock.Now when retries were last added at Rate
}

// RecordRequest adds Ratio retries to the budget. It is called at the first attempt of each request.
func (b *RetryBudget) RecordRequest() {
	b.lock.Lock()
	defer b.lock.Unlock()

	b.initialise()
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// TakeRetry takes one retry from the budget and reports whether the budget allowed it.
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
