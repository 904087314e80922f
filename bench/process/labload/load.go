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
	// maxConcurrentPrepares limits concurrent logins, since their password hashing would otherwise use up the processors
	// that the measured processes need.
	maxConcurrentPrepares = 16
)

// Load describes the load that client sessions apply. Exported fields are set before Prepare.
type Load struct {
	Addresses           []string // host:port of the proxies' client listeners
	Organisation        string
	Password            string
	Databases           []string
	Sessions            int    // number of client sessions
	Pooled              bool   // whether the next operation is sent by any idle session, as with a connection pool
	KeyPrefix           string // prefix of the keys; different prefixes let several loads run on one deployment
	Seed                uint64
	ReadRate            float64       // reads per second of all sessions together
	WriteRate           float64       // writes per second of all sessions together
	BoundedStalenessPct uint64        // percentage of the sessions that use ReadClass for their reads
	ReadClass           string        // name of a read class that accepts stale data; empty if no session uses one
	IdempotentPct       uint64        // percentage of the writes that have an idempotency key
	MovePct             uint64        // probability in percent that a session moves to another proxy before an operation
	Deadline            time.Duration // time from an operation's due time until it expires; 20 s if zero

	Event   func()        // called once at EventAt, for example to inject a fault; may be nil
	EventAt time.Duration // time from the start of Run to the call of Event

	eventTime    atomic.Int64 // nanoseconds from the start of Run to the actual call of Event
	history      labhistory.History
	readLatency  *labmetrics.Histogram
	writeLatency *labmetrics.Histogram
	start        time.Time
	sessions     []*session
}

// History returns the operations that were recorded.
func (l *Load) History() []labhistory.Operation {
	return l.history.Operations()
}

// ReadLatency returns the latencies of successful reads, each measured from the time at which the read was due.
func (l *Load) ReadLatency() *labmetrics.Histogram {
	return l.readLatency
}

// WriteLatency returns the latencies of acknowledged writes, each measured from the time at which the write was due.
func (l *Load) WriteLatency() *labmetrics.Histogram {
	return l.writeLatency
}

// EventTime returns the time from the start of Run to the call of Event, or 0 if Event has not been called.
func (l *Load) EventTime() time.Duration {
	return time.Duration(l.eventTime.Load())
}

// Elapsed returns the time since the start of Run. The times of the history are measured in the same way.
func (l *Load) Elapsed() time.Duration {
	return time.Since(l.start)
}

// Prepare creates the sessions, connects them and inserts the rows that they update.
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

// Run sends operations for the duration and returns when all of them are completed.
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

// Close closes the connections of all sessions.
func (l *Load) Close() {
	for _, s := range l.sessions {
		s.client.Close()
	}
}

// forEachSession calls a function for every session, with at most limit calls at the same time. If calls fail, it
// returns the error of one of them.
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

// runPooled generates the due times of all operations as one Poisson process. Any idle session executes the next
// operation.
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
