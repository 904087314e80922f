package labadmission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/proxy/process/labadmission"
)

func newAdmission() *labadmission.Admission {
	return &labadmission.Admission{Clock: labclock.New()}
}

func requestWithin(a *labadmission.Admission, timeout time.Duration) lab.AdmissionRequest {
	return lab.AdmissionRequest{Organisation: "a", Class: lab.ClassInteractive, Deadline: a.Clock.Now() + timeout}
}

func assertNotRun(t *testing.T, err error, reason string) {
	t.Helper()

	outcome, got := lab.OutcomeOf(err)
	assert.Equal(t, outcome, lab.OutcomeNotRun)
	assert.Equal(t, got, reason)
}

// Guards against a waiting request that is not woken at its grant, its deadline or the end of its context, and against
// losing a slot.
func TestAcquire(t *testing.T) {
	t.Run("granted on release", func(t *testing.T) {
		a := newAdmission()
		a.Resize("m", 1)
		release, err := a.Acquire(t.Context(), "m", requestWithin(a, time.Second))
		assert.NilError(t, err)
		time.AfterFunc(20*time.Millisecond, release)

		second, err := a.Acquire(t.Context(), "m", requestWithin(a, 10*time.Second))
		assert.NilError(t, err)
		release()

		running, _ := a.Load("m")
		assert.Equal(t, running, 1, "the second call of release freed another request's slot")
		second()
	})
	t.Run("deadline", func(t *testing.T) {
		a := newAdmission()

		began := time.Now()
		later := make(chan error)

		go func() {
			_, err := a.Acquire(t.Context(), "m", requestWithin(a, 200*time.Millisecond))
			later <- err
		}()

		time.Sleep(10 * time.Millisecond)

		_, err := a.Acquire(t.Context(), "m", requestWithin(a, 50*time.Millisecond))
		assertNotRun(t, err, lab.ReasonDeadline)
		assert.Assert(t, time.Since(began) < 150*time.Millisecond, "an earlier deadline did not wake the expire goroutine")
		assertNotRun(t, <-later, lab.ReasonDeadline)
	})
	t.Run("context", func(t *testing.T) {
		a := newAdmission()
		a.Resize("m", 0)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)

		_, err := a.Acquire(ctx, "m", requestWithin(a, 10*time.Second))
		assertNotRun(t, err, lab.ReasonCancelled)

		_, waiting := a.Load("m")
		assert.Equal(t, waiting, 0)
	})
	t.Run("members are separate", func(t *testing.T) {
		a := newAdmission()
		a.Resize("m", 1)
		a.Resize("n", 1)

		for _, m := range []string{"m", "n"} {
			_, err := a.Acquire(t.Context(), m, requestWithin(a, time.Second))
			assert.NilError(t, err)
		}
	})
}

// Guards against running more statements on a member than it has slots when grants, cancellations, expiries and resizes
// happen concurrently.
func TestSlotsUnderConcurrency(t *testing.T) {
	const slots = 3

	a := newAdmission()
	a.Resize("m", slots)

	var (
		running, excess, granted atomic.Int64
		tasks                    sync.WaitGroup
	)

	for range 50 {
		tasks.Go(func() {
			for range 100 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(5)+1)*time.Millisecond)
				release, err := a.Acquire(ctx, "m", requestWithin(a, time.Duration(rand.IntN(5))*time.Millisecond))

				if err == nil {
					if running.Add(1) > slots {
						excess.Add(1)
					}

					granted.Add(1)
					time.Sleep(time.Duration(rand.IntN(200)) * time.Microsecond)
					running.Add(-1)
					release()
				}

				cancel()
			}
		})
	}

	for range 20 {
		a.Resize("m", rand.IntN(slots+1))
		time.Sleep(2 * time.Millisecond)
	}

	a.Resize("m", slots)
	tasks.Wait()
	assert.Equal(t, excess.Load(), int64(0))
	assert.Assert(t, granted.Load() > 0)

	left, waiting := a.Load("m")
	assert.Equal(t, left, 0, "a slot was lost")
	assert.Equal(t, waiting, 0)
}

// BenchmarkAcquire measures how long a grant takes when a slot is free and when requests compete for the slots.
func BenchmarkAcquire(b *testing.B) {
	b.Run("free", func(b *testing.B) {
		a := newAdmission()
		a.Resize("m", 1)
		b.ReportAllocs()

		for b.Loop() {
			release, err := a.Acquire(b.Context(), "m", requestWithin(a, time.Hour))
			if err != nil {
				b.Fatal(err)
			}

			release()
		}
	})
	b.Run("contended", func(b *testing.B) {
		a := newAdmission()
		a.Resize("m", 3)
		b.ReportAllocs()
		b.SetParallelism(10)
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				release, err := a.Acquire(b.Context(), "m", requestWithin(a, time.Hour))
				if err != nil {
					b.Error(err)
					return
				}

				release()
			}
		})
	})
}
