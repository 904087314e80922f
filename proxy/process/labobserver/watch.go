package labobserver

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// watch polls the members of one database. Each watch has its own lock, so that databases don't block each other.
type watch struct {
	observer       *Observer
	ctx            context.Context //nolint:containedctx // context of the pollers, which outlive the starting call
	cancel         context.CancelFunc
	runningPollers sync.WaitGroup

	mu              sync.Mutex
	tracker         *tracker
	pollers         map[string]*poller
	waiters         int           // number of running calls of wait
	lastUsed        time.Duration // value of Clock.Now when the database was last in use
	replicaObserved chan struct{} // closed and replaced when a replica's position is recorded while calls of wait run
}

// poller controls the goroutine that polls one member.
type poller struct {
	member lab.Announcement
	cancel context.CancelFunc
	wake   chan struct{} // makes the next poll start at once
	done   chan struct{} // closed when the goroutine has ended
}

func newWatch(o *Observer) *watch {
	ctx, cancel := context.WithCancel(context.Background())

	return &watch{
		observer: o, ctx: ctx, cancel: cancel, tracker: newTracker(o.unreachableAfter(), o.reportInterval()),
		pollers: map[string]*poller{}, replicaObserved: make(chan struct{}),
	}
}

// update starts and stops pollers so that they match the members of the catalog.
func (w *watch) update(database *lab.Database, watched func(lab.Announcement) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.tracker.update(database, watched)

	for name, p := range w.pollers {
		s, found := w.tracker.members[name]
		if !found || s.member.Address != p.member.Address || s.member.Incarnation != p.member.Incarnation {
			p.cancel()
			delete(w.pollers, name)
		}
	}

	for name, s := range w.tracker.members {
		if _, found := w.pollers[name]; !found {
			w.start(name, s.member)
		}
	}
}

func (w *watch) start(name string, member lab.Announcement) {
	ctx, cancel := context.WithCancel(w.ctx)
	p := &poller{member: member, cancel: cancel, wake: make(chan struct{}, 1), done: make(chan struct{})}
	w.pollers[name] = p

	w.runningPollers.Go(func() {
		defer close(p.done)
		w.poll(ctx, p)
	})
}

// poll reads one member's position repeatedly until the context ends.
func (w *watch) poll(ctx context.Context, p *poller) {
	var reader Reader

	defer func() {
		if reader != nil {
			reader.Close()
		}
	}()

	for ctx.Err() == nil {
		reader = w.readOnce(ctx, p, reader)
		w.pause(ctx, p)
	}
}

// readOnce reads the position once and returns the connection to use next, or nil. It opens a connection if there is
// none. A failed probe on an open connection doesn't mean that the member has failed, so a new connection is tried at
// once.
func (w *watch) readOnce(ctx context.Context, p *poller, reader Reader) Reader {
	hadReader, probedAt := reader != nil, w.observer.Clock.Now()

	if reader != nil {
		if w.probe(ctx, p, reader) {
			return reader
		}

		reader.Abort()

		if ctx.Err() != nil {
			return nil
		}
	}

	startedAt := w.observer.Clock.Now()

	openCtx, cancel := context.WithTimeout(ctx, w.observer.connectTimeout())
	defer cancel()

	reader, err := w.observer.Source.Open(openCtx, p.member)
	if err == nil {
		if w.probe(ctx, p, reader) {
			if hadReader {
				w.recordUnresponsive(p.member, probedAt)
			}

			return reader
		}

		reader.Abort()
	}

	if ctx.Err() == nil {
		w.recordFailure(p.member, startedAt)
	}

	return nil
}

func (w *watch) probe(ctx context.Context, p *poller, reader Reader) bool {
	ctx, cancel := context.WithTimeout(ctx, w.observer.probeTimeout())
	defer cancel()

	sentAt := w.observer.Clock.Now()

	position, err := reader.Probe(ctx)
	if err != nil {
		return false
	}

	w.recordPosition(p.member, sentAt, position)

	return true
}

func (w *watch) recordPosition(member lab.Announcement, sentAt time.Duration, position labupstream.Position) {
	w.mu.Lock()
	statuses := w.tracker.recordPosition(member, sentAt, position)

	if w.waiters > 0 && member.Member != w.tracker.primary {
		close(w.replicaObserved)
		w.replicaObserved = make(chan struct{})
	}
	w.mu.Unlock()

	w.observer.report(statuses)
}

func (w *watch) recordUnresponsive(member lab.Announcement, probedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.tracker.recordUnresponsive(member, probedAt)
}

func (w *watch) recordFailure(member lab.Announcement, startedAt time.Duration) {
	w.mu.Lock()
	statuses := w.tracker.recordFailure(member, startedAt, w.observer.Clock.Now())
	w.mu.Unlock()

	w.observer.report(statuses)
}

// pause waits until the next poll is due.
func (w *watch) pause(ctx context.Context, p *poller) {
	w.mu.Lock()
	interval := w.interval(w.observer.Clock.Now())
	w.mu.Unlock()

	timer := time.NewTimer(interval)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
	}
}

// interval returns the time until the next poll. It is waitingInterval while calls of wait run. It is idleFactor times
// the regular interval if the database has not been used for idleAfter and connecting fails for none of its members.
// The caller holds the lock.
func (w *watch) interval(now time.Duration) time.Duration {
	switch {
	case w.waiters > 0:
		return waitingInterval
	case now-w.lastUsed > idleAfter && !w.tracker.anyConnectFailed():
		return w.observer.interval() * idleFactor
	default:
		return w.observer.interval()
	}
}

// wait polls until the views satisfy a condition, the context ends or the watch is stopped.
func (w *watch) wait(ctx context.Context, satisfied func([]View) bool) error {
	w.mu.Lock()
	w.waiters++
	w.mu.Unlock()

	defer func() {
		w.mu.Lock()
		w.waiters--
		w.mu.Unlock()
	}()

	views := make([]View, 0, 4)

	for first := true; ; first = false {
		w.mu.Lock()
		views = w.tracker.views(w.observer.Clock.Now(), views[:0])
		replicaRead := w.replicaObserved

		if first {
			w.wakePollers()
		}
		w.mu.Unlock()

		if satisfied(views) {
			return nil
		}

		select {
		case <-replicaRead:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-w.ctx.Done():
			return errNotWatched
		}
	}
}

// wakePollers makes the pollers of all members start their next poll at once. The caller holds the lock.
func (w *watch) wakePollers() {
	for _, p := range w.pollers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// stop stops the pollers and returns when all connections are closed.
func (w *watch) stop() {
	w.cancel()
	w.runningPollers.Wait()
}
