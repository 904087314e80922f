package labload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlock.dev/lab/bench/connection/labcaller"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labrandom"
)

const (
	keysPerSession  = 4
	defaultDeadline = 20 * time.Second
	onceTries       = 4
	// prepareAtOnce bounds logins at once, whose password hashing would otherwise starve the processes measured.
	prepareAtOnce = 16
)

// Load describes the callers; exported fields are set before Run.
type Load struct {
	Addresses    []string // of the proxies
	Organisation string
	Password     string
	Databases    []string
	Sessions     int
	Pooled       bool   // any free session sends the next operation, as with a connection pool
	Prefix       string // of the keys, so that several loads can run on one deployment
	Seed         uint64
	Reads        float64       // per second, all sessions together
	Writes       float64       // per second
	AgedPct      uint64        // percent of the sessions whose reads accept the read class's age
	ReadClass    string        //
	OncePct      uint64        // percent of the writes that are named and run at most once
	MovePct      uint64        // percent of the operations before which a session moves to another proxy
	Deadline     time.Duration // for one operation, 20 s when zero

	Event   func()        // called once at EventAt, such as a fault; may be nil
	EventAt time.Duration // since Run began

	event    atomic.Int64 // when Event was called, in nanoseconds since Run began
	history  labhistory.History
	reads    *labmetrics.Histogram
	writes   *labmetrics.Histogram
	start    time.Time
	sessions []*session
}

// History returns what was recorded.
func (l *Load) History() []labhistory.Operation {
	return l.history.Operations()
}

// ReadLatency returns the latencies of successful reads from the time they were due.
func (l *Load) ReadLatency() *labmetrics.Histogram {
	return l.reads
}

// WriteLatency returns the latencies of acknowledged writes from the time they were due.
func (l *Load) WriteLatency() *labmetrics.Histogram {
	return l.writes
}

// EventTime returns when Event was called on the scale of the history's times, 0 before.
func (l *Load) EventTime() time.Duration {
	return time.Duration(l.event.Load())
}

// Since returns the time since Run began, the scale of the history's times.
func (l *Load) Since() time.Duration {
	return time.Since(l.start)
}

// Prepare connects the sessions and inserts their rows.
func (l *Load) Prepare(ctx context.Context) error {
	l.reads, l.writes = labmetrics.NewHistogram(), labmetrics.NewHistogram()

	if l.Deadline == 0 {
		l.Deadline = defaultDeadline
	}

	for i := range l.Sessions {
		s := &session{
			load: l, number: i, random: labrandom.NewSeeded(l.Seed*1_000_003 + uint64(i)),
			caller: &labcaller.Caller{
				Addresses: l.Addresses, Organisation: l.Organisation, Password: l.Password,
				Database: l.Databases[i%len(l.Databases)], Start: i,
			},
		}
		s.aged = uint64(i)*100/uint64(l.Sessions) < l.AgedPct && l.ReadClass != ""

		if s.aged {
			s.caller.ReadClass = l.ReadClass
		}

		l.sessions = append(l.sessions, s)
	}

	return l.each(prepareAtOnce, func(s *session) error { return s.prepare(ctx) })
}

// Run sends operations for the duration and returns when all have ended.
func (l *Load) Run(ctx context.Context, duration time.Duration) error {
	l.start = time.Now()

	if l.Event != nil {
		t := time.AfterFunc(l.EventAt, func() {
			l.event.Store(int64(l.Since()))
			l.Event()
		})
		defer t.Stop()
	}

	if l.Pooled {
		return l.runPooled(ctx, duration)
	}

	return l.each(len(l.sessions), func(s *session) error {
		s.run(ctx, duration)

		return nil
	})
}

// Close ends all sessions.
func (l *Load) Close() {
	for _, s := range l.sessions {
		s.caller.Close()
	}
}

// each calls do for every session, for at most atOnce of them at the same time.
func (l *Load) each(atOnce int, do func(s *session) error) error {
	var (
		wait   sync.WaitGroup
		mutex  sync.Mutex
		failed error
	)

	free := make(chan struct{}, max(1, atOnce))

	for _, s := range l.sessions {
		free <- struct{}{}

		wait.Go(func() {
			defer func() { <-free }()

			if err := do(s); err != nil {
				mutex.Lock()
				defer mutex.Unlock()

				failed = err
			}
		})
	}

	wait.Wait()

	return failed
}

// runPooled hands the arrivals of one Poisson process to whichever session is free.
func (l *Load) runPooled(ctx context.Context, duration time.Duration) error {
	arrivals := make(chan time.Duration, int((l.Reads+l.Writes)*duration.Seconds())*2+1)
	random := labrandom.NewSeeded(l.Seed)

	go func() {
		defer close(arrivals)

		for due := interval(random, l.Reads+l.Writes); due < duration && ctx.Err() == nil; due += interval(random, l.Reads+l.Writes) {
			time.Sleep(due - l.Since())

			arrivals <- due
		}
	}()

	return l.each(len(l.sessions), func(s *session) error {
		for due := range arrivals {
			s.serve(ctx, due)
		}

		return nil
	})
}
