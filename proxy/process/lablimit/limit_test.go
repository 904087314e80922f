package lablimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/proxy/request/labsample"
)

const (
	testMaximum = 16
	testSlots   = 3
)

// memberLoad plays statements of several proxies at one member, whose slots serve them in order of arrival.
type memberLoad struct {
	limits  []*Limit
	running []int // statements in progress by proxy
	demand  int   // statements that each proxy would run at a time
	factor  float64
	random  *rand.Rand
	now     time.Duration
	free    []time.Duration // time at which each slot is free
	ends    []end
	served  int
}

type end struct {
	at, started time.Duration
	proxy       int
}

func newMemberLoad(proxies, demand int) *memberLoad {
	l := &memberLoad{demand: demand, factor: 1, random: rand.New(rand.NewPCG(7, 7)), now: time.Minute}
	l.free, l.running = make([]time.Duration, testSlots), make([]int, proxies)

	for i := range proxies {
		l.limits = append(l.limits, &Limit{Phase: uint64(i) * 7919 * 7919})
	}

	return l
}

func (l *memberLoad) start(proxy int) {
	slot := 0
	for i := range l.free {
		if l.free[i] < l.free[slot] {
			slot = i
		}
	}

	kinds := []time.Duration{3, 8, 15, 20, 24, 30, 47}
	d := time.Duration(float64(kinds[l.random.IntN(len(kinds))]*time.Millisecond) * l.factor)
	l.free[slot] = max(l.free[slot], l.now) + d
	l.ends = append(l.ends, end{l.free[slot], l.now, proxy})
	l.running[proxy]++
}

// play runs the load for the given time and returns the mean number of statements in progress.
func (l *memberLoad) play(d time.Duration) float64 {
	l.served = 0
	sum, steps := 0, 0

	for stop := l.now + d; l.now < stop; l.now += time.Millisecond {
		rest := l.ends[:0]

		for _, e := range l.ends {
			if e.at > l.now {
				rest = append(rest, e)

				continue
			}

			p := e.proxy
			l.limits[p].Add(l.now, labsample.Sample{Served: true, Latency: l.now - e.started}, l.running[p], testMaximum)
			l.running[p]--
			l.served++
		}

		l.ends = rest

		for p := range l.limits {
			for l.running[p] < min(l.demand, l.limits[p].Current(l.now, testMaximum)) {
				l.start(p)
			}
		}

		sum += len(l.ends)
		steps++
	}

	return float64(sum) / float64(steps)
}

func (l *memberLoad) total() int {
	sum := 0
	for _, m := range l.limits {
		sum += m.Current(l.now, testMaximum)
	}

	return sum
}

func assertBetween(t *testing.T, got, low, high float64) {
	t.Helper()
	assert.Assert(t, got >= low && got <= high, "%v, not from %v to %v", got, low, high)
}

// Load: four gateways with 16 connections each, all of which the clients would use.
func TestOverload(t *testing.T) {
	start := func() *memberLoad {
		l := newMemberLoad(4, 1)
		l.play(20 * time.Second)
		l.demand = 100

		return l
	}

	t.Run("limit within 2 s", func(t *testing.T) {
		l := start()
		l.play(2 * time.Second)
		assertBetween(t, l.play(5*time.Second), testSlots, 14)
	})

	// Guards against a baseline that drifts under sustained load: after half an hour the queue at the member is no longer
	// than at the start, and its slots are in use.
	t.Run("sustained", func(t *testing.T) {
		l := start()
		l.play(10 * time.Second)
		first := l.play(20 * time.Second)
		l.play(30 * time.Minute)
		assertBetween(t, l.play(20*time.Second), testSlots, 1.25*first)
		assertBetween(t, float64(l.served), 0.95*20*testSlots/0.021, 1.05*20*testSlots/0.021)
	})

	// Guards against gateways that lower and raise their limits in step, which leaves slots unused.
	t.Run("in step", func(t *testing.T) {
		l := start()
		l.play(10 * time.Second)

		for range 40 {
			assertBetween(t, l.play(250*time.Millisecond), testSlots*0.9, 20)
		}
	})

	t.Run("fast again", func(t *testing.T) {
		l := start()
		l.factor = 8
		l.play(6 * time.Second)
		assertBetween(t, float64(l.total()), 4, 16)
		l.factor = 1
		l.play(2 * time.Second)
		assertBetween(t, l.play(time.Second), testSlots, 14)
		assertBetween(t, float64(l.served), 0.9*testSlots/0.021, 1.2*testSlots/0.021)
	})
}

// Guards against decisions in step where proxies get the same samples at the same times.
func TestPhase(t *testing.T) {
	limits := []*Limit{{Phase: 1}, {Phase: 30_000_001}}
	together, changes := 0, 0

	for i := range 2000 {
		now := time.Minute + time.Duration(i)*5*time.Millisecond
		changed := 0

		for _, l := range limits {
			before := l.Current(now, testMaximum)
			latency := 20 * time.Millisecond * time.Duration(1+7*(i/500%2))
			l.Add(now, labsample.Sample{Served: true, Latency: latency}, before, testMaximum)

			if l.Current(now, testMaximum) != before {
				changed++
			}
		}

		if changed > 0 {
			changes++
		}

		if changed == len(limits) {
			together++
		}
	}

	assert.Assert(t, changes > 10 && together*3 < changes, "%d of %d changes together", together, changes)
}

func TestLimit(t *testing.T) {
	add := func(l *Limit, now *time.Duration, n int, interval time.Duration, s labsample.Sample, inProgress int) {
		for range n {
			*now += interval
			l.Add(*now, s, inProgress, testMaximum)
		}
	}
	fast := labsample.Sample{Served: true, Latency: 20 * time.Millisecond}
	slow := labsample.Sample{Served: true, Latency: 160 * time.Millisecond}

	t.Run("no samples", func(t *testing.T) {
		l := &Limit{}
		assert.Equal(t, l.Current(time.Minute, testMaximum), testMaximum)
		assert.Equal(t, l.Current(time.Minute, 0), 0)
	})

	// Guards against decisions on too few samples: 0.3 statements a second.
	t.Run("few samples", func(t *testing.T) {
		l, now := &Limit{}, time.Minute
		add(l, &now, 20, 3300*time.Millisecond, fast, 1)
		add(l, &now, 20, 3300*time.Millisecond, slow, 4)
		assert.Equal(t, l.Current(now, testMaximum), testMaximum)
	})

	t.Run("refusals", func(t *testing.T) {
		l, now := &Limit{}, time.Minute
		add(l, &now, 20, 20*time.Millisecond, fast, 1)
		add(l, &now, 8, 20*time.Millisecond, labsample.Sample{Refused: true}, 8)
		assert.Equal(t, l.Current(now, testMaximum), 5)
	})

	// Guards against a limit for a member that loses a fifth of its responses: it isn't busy.
	t.Run("lost responses", func(t *testing.T) {
		l, now := &Limit{}, time.Minute
		add(l, &now, 20, 20*time.Millisecond, fast, 1)

		for range 50 {
			add(l, &now, 4, 20*time.Millisecond, fast, 8)
			add(l, &now, 1, 20*time.Millisecond, labsample.Sample{Timeout: true, Latency: 250 * time.Millisecond}, 8)
		}

		assert.Equal(t, l.Current(now, testMaximum), testMaximum)
	})

	t.Run("never below one", func(t *testing.T) {
		l, now := &Limit{}, time.Minute
		add(l, &now, 50, 20*time.Millisecond, fast, 1)

		for n := testMaximum; n > 0; n-- {
			add(l, &now, 50, 20*time.Millisecond, slow, n)
		}

		assert.Equal(t, l.Current(now, testMaximum), 1)
	})

	t.Run("forgotten without samples", func(t *testing.T) {
		l, now := &Limit{}, time.Minute
		add(l, &now, 50, 20*time.Millisecond, fast, 1)
		add(l, &now, 50, 20*time.Millisecond, slow, 8)
		assert.Assert(t, l.Current(now, testMaximum) < 8)
		assert.Equal(t, l.Current(now+forgetAfter+time.Second, testMaximum), testMaximum)
	})
}
