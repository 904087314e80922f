package labquotalender

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// deployment returns organisations as they are on the platform: a few large and many small ones.
func deployment() []lab.OrganisationPolicy {
	var out []lab.OrganisationPolicy

	for i := range 85 {
		r := 242 / math.Pow(float64(i+1), 1.2)
		out = append(out, lab.OrganisationPolicy{Name: fmt.Sprintf("o%02d", i), Rate: r, Burst: r})
	}

	return out
}

// refusals returns the numbers of operations that ran and that were refused in a time.
func (m *model) refusals(from, to time.Duration) (ran, refused int) {
	count := func(times []time.Duration) (n int) {
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}

		return n
	}

	for name := range m.policies {
		ran += count(m.ran[name])
		refused += count(m.refused[name])
	}

	return ran, refused
}

func assertRefused(t *testing.T, m *model, from, to time.Duration, maxShare float64) {
	t.Helper()

	ran, refused := m.refusals(from, to)
	t.Logf("%s to %s: %d ran, %d refused", from, to, ran, refused)
	assert.Assert(t, ran > 0 && float64(refused) <= maxShare*float64(ran+refused))
}

// TestOrganisationsBelowTheirLimits replays 85 organisations at their usual load over 87 proxies in 6 zones. It guards
// against refusals while the tokens are spread over many holders, and against messages that grow with the operations.
func TestOrganisationsBelowTheirLimits(t *testing.T) {
	const start = 10 * time.Second

	m := newModel(1, tolerated, 6, 87, deployment()...)
	m.run(start)
	m.proxyCalls, m.leaderCalls, m.waited = 0, 0, 0
	m.run(30 * time.Second)

	t.Run("calm", func(t *testing.T) {
		assertRefused(t, m, start, m.now, 0.002)
		m.assertWindows(t)

		ran, _ := m.refusals(start, m.now)
		t.Logf("%d proxy calls, %d leader calls, %d waited for the leader", m.proxyCalls, m.leaderCalls, m.waited)
		assert.Assert(t, m.waited < ran/20)
		assert.Assert(t, m.proxyCalls < ran*5/4)
		assert.Assert(t, m.leaderCalls < 30*6*10)
	})

	t.Run("start", func(t *testing.T) { assertRefused(t, m, 0, time.Second, 0.1) })

	t.Run("one organisation far beyond its limit", func(t *testing.T) {
		start := m.now
		m.load["o03"] = 10 * m.policies["o03"].Rate
		m.run(10 * time.Second)
		m.assertWindows(t)

		// The operations of the organisation get its rate, and the others lose nothing.
		ran := len(slices.DeleteFunc(slices.Clone(m.ran["o03"]), func(at time.Duration) bool { return at < start }))
		assert.Assert(t, float64(ran) > 0.9*10*m.policies["o03"].Rate, "%d", ran)
		m.load["o03"] = m.policies["o03"].Rate / 1.6
		m.refused["o03"] = nil
		assertRefused(t, m, start, m.now, 0.002)
	})

	t.Run("a leader is lost", func(t *testing.T) {
		lost := m.now

		for _, i := range m.instances {
			i.leader = -1
		}

		m.run(time.Second)
		elected := m.elect(400 * time.Millisecond)

		for _, i := range m.instances {
			i.leader = elected
		}

		m.run(5 * time.Second)
		assertRefused(t, m, lost, lost+time.Second, 0.1)
		assertRefused(t, m, lost+1500*time.Millisecond, m.now, 0.02)
		m.assertWindows(t)
	})
}

// TestFailures checks the windows around single failures, without tolerance. An organisation fills its bucket and the holders
// in calm, and then sends 20 times what it may.
func TestFailures(t *testing.T) {
	const rate = 240

	run := func(t *testing.T, before, after func(*faults)) {
		t.Helper()

		p := lab.OrganisationPolicy{Name: "o", Rate: rate, Burst: rate}
		m := newModel(1, lab.QuotaTolerance{Window: tolerated.Window}, 4, 12, p)
		f := &faults{model: m, policy: p, lastElection: -time.Minute, cut: map[int]bool{}}
		f.start()

		m.load["o"] = 0.6 * rate
		m.run(15 * time.Second)
		before(f)

		m.load["o"] = 20 * rate
		m.run(300 * time.Millisecond)
		after(f)
		m.run(8 * time.Second)
		m.assertWindows(t)
		t.Logf("fullest window: %.3f of the limit", m.fullest())
	}

	none := func(*faults) {}
	cutHalf := func(f *faults) { f.cut[0], f.cut[1] = true, true }

	t.Run("none", func(t *testing.T) { run(t, none, none) })
	t.Run("the leader is lost", func(t *testing.T) { run(t, none, func(f *faults) { f.elect(0) }) })
	t.Run("two leaders at once", func(t *testing.T) { run(t, none, func(f *faults) { f.elect(400 * time.Millisecond) }) })
	t.Run("holders are cut off", func(t *testing.T) { run(t, cutHalf, none) })
	t.Run("holders come back", func(t *testing.T) { run(t, cutHalf, func(f *faults) { clear(f.cut) }) })
	t.Run("responses are late", func(t *testing.T) {
		run(t, func(f *faults) { f.slow = 600 * time.Millisecond }, none)
	})
	t.Run("messages are lost", func(t *testing.T) { run(t, func(f *faults) { f.loss = 0.3 }, none) })
	t.Run("a limit is lowered while holders are cut off", func(t *testing.T) {
		run(t, cutHalf, func(f *faults) {
			f.model.configure(lab.OrganisationPolicy{Name: "o", Rate: rate / 10, Burst: rate / 10})
		})
	})
}

// TestWindows checks that no window exceeds the limit whatever happens to leaders, links and limits, for an organisation
// that sends far more than it may. It guards against tokens that are counted twice: when a report arrives late or again,
// when a holder is cut off after it has spent its tokens, and when leaders follow each other or lead at once.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := lab.OrganisationPolicy{Name: "o"}
		p.Rate = rapid.SampledFrom([]float64{0.5, 2, 20, 240}).Draw(t, "rate")
		p.Burst = p.Rate * rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "burst")

		// Without tolerance nothing hides a token that is counted twice.
		tolerance := rapid.SampledFrom([]lab.QuotaTolerance{tolerated, {Window: tolerated.Window}}).Draw(t, "tolerance")

		m := newModel(rapid.Uint64().Draw(t, "seed"), tolerance, 4, 12, p)
		f := &faults{model: m, policy: p, lastElection: -time.Minute}
		f.cut = map[int]bool{}
		f.start()

		for range rapid.IntRange(1, 16).Draw(t, "faults") {
			f.model.run(time.Duration(rapid.IntRange(0, 2500).Draw(t, "after")) * time.Millisecond)
			f.draw(t)
		}

		f.model.run(6 * time.Second)
		f.model.assertWindows(t)
	})
}

// faults causes failures in a model.
type faults struct {
	model        *model
	policy       lab.OrganisationPolicy
	lastElection time.Duration
	cut          map[int]bool  // zones whose control instance doesn't reach the leader
	loss         float64       // share of messages that are lost
	slow         time.Duration // maximum of an additional delay
}

func (f *faults) start() {
	m, usual := f.model, f.model.delay

	m.delay = func(from, to int) (time.Duration, bool) {
		d, _ := usual(from, to)
		if f.slow > 0 {
			d += time.Duration(m.random.Int64N(int64(f.slow)))
		}

		// Messages from and to the leader have a zone of their own.
		cut := (from == leaderZone || to == leaderZone) && f.cut[max(from, to)]

		return d, !cut && m.random.Float64() >= f.loss
	}
}

func (f *faults) draw(t *rapid.T) {
	m := f.model

	switch rapid.SampledFrom([]string{"load", "load", "elect", "cut", "cut", "heal", "limit", "links"}).Draw(t, "fault") {
	case "load":
		// A full bucket and large holdings need calm before a burst.
		m.load["o"] = f.policy.Rate * rapid.SampledFrom([]float64{0, 0.6, 0.9, 20}).Draw(t, "load")
	case "elect":
		f.elect(time.Duration(rapid.IntRange(0, 400).Draw(t, "overlap")) * time.Millisecond)
	case "cut":
		f.cut[rapid.IntRange(0, len(m.instances)-1).Draw(t, "zone")] = true
	case "heal":
		clear(f.cut)
	case "limit":
		p := f.policy
		p.Rate *= rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "rate change")
		p.Burst *= rapid.SampledFrom([]float64{0.1, 1}).Draw(t, "burst change")
		m.configure(p)
	case "links":
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		f.slow = time.Duration(rapid.SampledFrom([]int{0, 50, 900}).Draw(t, "delay")) * time.Millisecond
	}
}

// elect starts another leader. The former one leads for the overlap, for one half of the instances. Two elections in one
// window are covered by the tolerance, so a third one waits.
func (f *faults) elect(overlap time.Duration) {
	m := f.model

	if m.now-f.lastElection < m.tolerance.Window/2 {
		return
	}

	f.lastElection = m.now
	elected := m.elect(400 * time.Millisecond)

	for n, i := range m.instances {
		if n%2 == 0 {
			i.leader = elected
		}
	}

	m.after(overlap, func() {
		for _, i := range m.instances {
			i.leader = max(i.leader, elected)
		}
	})
}
