package labwaitlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestConnectionWait(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Statement
		want time.Duration
	}{
		{"low load", Statement{TimeLeft: 770 * ms, TargetLatency: 400 * ms, TypicalLatency: 20 * ms}, 200 * ms},
		{"little time left", Statement{TimeLeft: 100 * ms, TargetLatency: 400 * ms, TypicalLatency: 60 * ms}, 40 * ms},
		{"no time for a response", Statement{TimeLeft: 20 * ms, TargetLatency: 400 * ms, TypicalLatency: 60 * ms}, -40 * ms},
		{"unreachable member", Statement{TimeLeft: 770 * ms, TargetLatency: 400 * ms, TypicalLatency: 20 * ms, Unreachable: true}, 750 * ms},
		{"no target latency", Statement{TimeLeft: 770 * ms, TypicalLatency: 20 * ms}, 750 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.in.ConnectionWait(), c.want)
		})
	}
}

// simulatedMember simulates one member under load. Its slots run statements from a queue in order of arrival, and
// clients give up after a time limit.
type simulatedMember struct {
	slots    int           // number of statements that run at the same time
	work     time.Duration // execution time of a statement
	interval time.Duration // interval between arrivals
	limit    time.Duration // time after which a client gives up
}

// run returns how many statements got a response in time, how many were executed but got theirs only after the client
// had given up, and how many arrived. If wait is nil, statements wait for a slot without a limit.
func (m simulatedMember) run(length time.Duration, wait func(queued int) Statement) (inTime, wasted, arrived int) {
	free := make([]time.Duration, m.slots)

	for now := time.Duration(0); now < length; now += m.interval {
		arrived++

		slot := 0
		for i := range free {
			if free[i] < free[slot] {
				slot = i
			}
		}

		start := max(now, free[slot])
		if wait != nil && start-now > wait(0).ConnectionWait() {
			continue // rejected, not run
		}

		// The client gives up while its statement is queued. A statement that has started runs to its end.
		if start-now > m.limit {
			continue
		}

		free[slot] = start + m.work

		if free[slot]-now <= m.limit {
			inTime++
		} else {
			wasted++
		}
	}

	return inTime, wasted, arrived
}

// TestOverload simulates a primary that serves all reads while its replicas lag. It has 3 slots, a statement takes 18 ms,
// and the load is twice the capacity.
func TestOverload(t *testing.T) {
	m := simulatedMember{slots: 3, work: 18 * ms, interval: 3 * ms, limit: 770 * ms}

	_, wasted, _ := m.run(10*time.Second, nil)
	assert.Assert(t, wasted > 0, "without a limit some statements must be executed too late")

	inTime, wasted, _ := m.run(10*time.Second, func(int) Statement {
		return Statement{TimeLeft: 770 * ms, TargetLatency: 800 * ms, TypicalLatency: m.work}
	})
	capacity := int(10 * time.Second / m.work * 3)

	assert.Equal(t, wasted, 0)
	assert.Assert(t, inTime >= capacity*95/100, "%d of %d", inTime, capacity)
}

func TestResponseWait(t *testing.T) {
	for _, c := range []struct {
		name                     string
		typical, remaining, want time.Duration
	}{
		{"low load: the response is lost", 20 * ms, 770 * ms, 250 * ms},
		{"overload: the response is late", 120 * ms, 770 * ms, 770 * ms},
		{"busy", 50 * ms, 770 * ms, 400 * ms},
		{"little time left", 20 * ms, 100 * ms, 100 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, ResponseWait(c.typical, c.remaining), c.want)
		})
	}
}
