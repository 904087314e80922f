package labpatience

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Wait
		want time.Duration
	}{
		{"calm", Wait{Remaining: 770 * ms, Objective: 400 * ms, Expected: 20 * ms}, 200 * ms},
		{"little time left", Wait{Remaining: 100 * ms, Objective: 400 * ms, Expected: 60 * ms}, 40 * ms},
		{"no time for an answer", Wait{Remaining: 20 * ms, Objective: 400 * ms, Expected: 60 * ms}, -40 * ms},
		{"member is replaced", Wait{Remaining: 770 * ms, Objective: 400 * ms, Expected: 20 * ms, Failing: true}, 750 * ms},
		{"no objective", Wait{Remaining: 770 * ms, Expected: 20 * ms}, 750 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.in.Limit(), c.want)
		})
	}
}

// member is a replay of one member under load: slots that each take work, a queue in order of arrival, and callers that
// give up after a time limit.
type member struct {
	slots int
	work  time.Duration
	every time.Duration // between arrivals
	limit time.Duration
}

// play returns how many statements were answered in time, how many ran in vain and how many arrived.
func (m member) play(length time.Duration, wait func(queued int) Wait) (inTime, inVain, arrived int) {
	free := make([]time.Duration, m.slots)

	for now := time.Duration(0); now < length; now += m.every {
		arrived++

		slot := 0
		for i := range free {
			if free[i] < free[slot] {
				slot = i
			}
		}

		start := max(now, free[slot])
		if wait != nil && start-now > wait(0).Limit() {
			continue // refused, not run
		}

		// Without a limit callers still give up while they queue, but what starts in time runs to its end.
		if start-now > m.limit {
			continue
		}

		free[slot] = start + m.work

		if free[slot]-now <= m.limit {
			inTime++
		} else {
			inVain++
		}
	}

	return inTime, inVain, arrived
}

// TestOverload replays a primary that takes all reads while its replicas lag: 3 slots, 18 ms a statement, twice the work
// that fits.
func TestOverload(t *testing.T) {
	m := member{slots: 3, work: 18 * ms, every: 3 * ms, limit: 770 * ms}

	_, inVain, _ := m.play(10*time.Second, nil)
	assert.Assert(t, inVain > 0, "without a limit statements run in vain")

	inTime, inVain, _ := m.play(10*time.Second, func(int) Wait {
		return Wait{Remaining: 770 * ms, Objective: 800 * ms, Expected: m.work}
	})
	capacity := int(10 * time.Second / m.work * 3)

	assert.Equal(t, inVain, 0)
	assert.Assert(t, inTime >= capacity*95/100, "%d of %d", inTime, capacity)
}

func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name                     string
		typical, remaining, want time.Duration
	}{
		{"calm: the answer is lost", 20 * ms, 770 * ms, 250 * ms},
		{"overload: the answer is late", 120 * ms, 770 * ms, 770 * ms},
		{"busy", 50 * ms, 770 * ms, 400 * ms},
		{"little time left", 20 * ms, 100 * ms, 100 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Silence(c.typical, c.remaining), c.want)
		})
	}
}
