package labconsensus

import (
	"context"
	"time"
)

// slowStepElapsed is the duration from which a step of Run's goroutine is logged. Elections start after about twice this
// time without a heartbeat. A goroutine cannot log more than five such steps a second.
const slowStepElapsed = 200 * time.Millisecond

// runningStep is a step of Run's goroutine that has begun and not ended.
type runningStep struct {
	name  string
	start time.Duration
}

// measure executes a step of Run's goroutine and logs it if it was slow.
func (g *Group) measure(name string, step func() error) error {
	s := &runningStep{name, g.Clock.Now()}
	g.step.Store(s)

	err := step()

	g.step.Store(nil)
	g.logSlowStep(name, g.Clock.Now()-s.start, true)

	return err
}

// tick wakes Run's goroutine at each tick interval. It logs a step that is slow while it still runs, and a sleep that ended
// late, which shows that the process did not get processor time.
func (g *Group) tick(ctx context.Context, ticks chan<- struct{}, done chan<- struct{}) {
	defer close(done)

	var logged *runningStep

	for {
		start := g.Clock.Now()
		if g.Clock.Sleep(ctx, g.TickInterval) != nil {
			return
		}

		now := g.Clock.Now()
		g.logSlowStep("sleep", now-start-g.TickInterval, true)

		if s := g.step.Load(); s != nil && s != logged && now-s.start >= slowStepElapsed {
			logged = s
			g.logSlowStep(s.name, now-s.start, false)
		}

		select {
		case ticks <- struct{}{}:
		default:
		}
	}
}

func (g *Group) logSlowStep(name string, elapsed time.Duration, ended bool) {
	if elapsed < slowStepElapsed {
		return
	}

	g.Log.Warn().Str("step", name).Dur("elapsed", elapsed).Bool("ended", ended).Msg("consensus_step_slow")
}
