package labload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlock.dev/lab/bench/connection/labclient"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labrandom"
)

const (
	keysPerSession        = 4
	defaultDeadline       = 20 * time.Second
	maxIdempotentAttempts = 4
	// maxConcurrentPrepares bounds logins at once, whose password hashing would otherwise starve the processes measured.
	maxConcurrentPrepares = 16
)

// Load describes the callers; exported fields are set before Run.
type Load struct {
	Addresses           []string // of the proxies
	Organisation        string
	Password            string
	Databases           []string
	Sessions            int
	Pooled              bool   // any free session sends the next operation, as with a connection pool
	KeyPrefix           string // of the keys, so that several loads can run on one deployment
	Seed                uint64
	ReadRate            float64       // per second, all sessions together
	WriteRate           float64       // per second
	BoundedStalenessPct uint64        // percent of the sessions whose reads accept the read class's age
	ReadClass           string        //
	IdempotentPct       uint64        // percent of the writes that are named and run at most once
	MovePct             uint64        // percent of the operations before which a session moves to another proxy
	Deadline            time.Duration // for one operation, 20 s when zero

	Event   func()        // called once at EventAt, such as a fault; may be nil
	EventAt time.Duration // since Run began

	eventTime    atomic.Int64 // when Event was called, in nanoseconds since Run began
	history      labhistory.History
	readLatency  *labmetrics.Histogram
	writeLatency *labmetrics.Histogram
	start        time.Time
	sessions     []*session
}

// History returns what was recorded.
func (l *Load) History() []labhistory.Operation {
	return l.history.Operations()
}

// ReadLatency returns the latencies of successful reads from the time they were due.
func (l *Load) ReadLatency() *labmetrics.Histogram {
	return l.readLatency
}

// WriteLatency returns the latencies of acknowledged writes from the time they were due.
func (l *Load) WriteLatency() *labmetrics.Histogram {
	return l.writeLatency
}

// EventTime returns when Event was called on the scale of the history's times, 0 before.
func (l *Load) EventTime() time.Duration {
	return time.Duration(l.eventTime.Load())
}

// Elapsed returns the time since Run began, the scale of the history's times.
func (l *Load) Elapsed() time.Duration {
	return time.Since(l.start)
}

// Prepare connects the sessions and inserts their rows.
func (l *Load) Prepare(ctx context.Context) error {
	l.readLatency, l.writeLatency = labmetrics.NewHistogram(), labmetrics.NewHistogram()

	if l.Deadline == 0 {
		l.Deadline = defaultDeadline
	}

	for i := range l.Sessions {
		s := &session{
			load: l, number: i, random: labrandom.NewSeeded(l.Seed*1_000_003 + uint64(i)),
			client: &labclient.Client{
				Addresses: l.Addresses, Organisation: l.Organisation, Password: l.Password,
				Database: l.Databases[i%len(l.Databases)], FirstAddress: i,
			},
		}
		s.boundedStaleness = uint64(i)*100/uint64(l.Sessions) < l.BoundedStalenessPct && l.ReadClass != ""

		if s.boundedStaleness {
			s.client.ReadClass = l.ReadClass
		}

		l.sessions = append(l.sessions, s)
	}

	return l.forEachSession(maxConcurrentPrepares, func(s *session) error { return s.prepare(ctx) })
}

// Run sends operations for the duration and returns when all have ended.
func (l *Load) Run(ctx context.Context, duration time.Duration) error {
	l.start = time.Now()

	if l.Event != nil {
		t := time.AfterFunc(l.EventAt, func() {
			l.eventTime.Store(int64(l.Elapsed()))
			l.Event()
		})
		defer t.Stop()
	}

	if l.Pooled {
		return l.runPooled(ctx, duration)
	}

	return l.forEachSession(len(l.sessions), func(s *session) error {
		s.run(ctx, duration)

		return nil
	})
}

// Close ends all sessions.
func (l *Load) Close() {
	for _, s := range l.sessions {
		s.client.Close()
	}
}

// forEachSession calls do for every session, for at most atOnce of them at the same time.
func (l *Load) forEachSession(limit int, call func(s *session) error) error {
	var (
		wait    sync.WaitGroup
		mutex   sync.Mutex
		failure error
	)

	slots := make(chan struct{}, max(1, limit))

	for _, s := range l.sessions {
		slots <- struct{}{}

		wait.Go(func() {
			defer func() { <-slots }()

			if err := call(s); err != nil {
				mutex.Lock()
				defer mutex.Unlock()

				failure = err
			}
		})
	}

	wait.Wait()

	return failure
}

// runPooled hands the arrivals of one Poisson process to whichever session is free.
func (l *Load) runPooled(ctx context.Context, duration time.Duration) error {
	arrivals := make(chan time.Duration, int((l.ReadRate+l.WriteRate)*duration.Seconds())*2+1)
	random := labrandom.NewSeeded(l.Seed)

	go func() {
		defer close(arrivals)

		for due := nextInterval(random, l.ReadRate+l.WriteRate); due < duration && ctx.Err() == nil; due += nextInterval(random, l.ReadRate+l.WriteRate) {
			time.Sleep(due - l.Elapsed())

			arrivals <- due
		}
	}()

	return l.forEachSession(len(l.sessions), func(s *session) error {
		for due := range arrivals {
			s.execute(ctx, due)
		}

		return nil
	})
}
