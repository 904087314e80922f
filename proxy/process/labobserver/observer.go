package labobserver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

const (
	defaultInterval         = 100 * time.Millisecond
	defaultUnreachableAfter = time.Second
	defaultReportInterval   = time.Second
	defaultConnectTimeout   = 500 * time.Millisecond
	defaultProbeTimeout     = 300 * time.Millisecond

	// waitingInterval is the pause between polls while commits wait; a poll takes one round trip in addition.
	waitingInterval = 2 * time.Millisecond

	// A database unused for idleAfter is polled idleFactor times less often, so that polls of 1,500 databases stay small; a
	// member that fails to answer is polled at the full rate at once, and its loss is still reported within LostAfter.
	idleAfter  = 5 * time.Second
	idleFactor = 4
)

var errNotWatched = errors.New("database is no longer observed")

// Observer polls the members of the databases that it watches.
type Observer struct {
	Clock            lab.Clock
	Source           Source
	StatusObserver   lab.MemberObserver // told of statuses that changed, may be nil
	Interval         time.Duration      // between polls
	UnreachableAfter time.Duration      // of failing new connections
	ReportInterval   time.Duration      // between reports of positions alone
	ConnectTimeout   time.Duration
	ProbeTimeout     time.Duration

	mu      sync.RWMutex
	watches map[string]*watch
}

// Watch starts or updates the observation of a database from a region: of its members there and of the primary, and
// of all members when the primary is there.
func (o *Observer) Watch(database *lab.Database, region string) {
	primary, _ := database.Member(database.Primary)
	watched := func(m lab.Announcement) bool {
		return m.Region == region || primary.Region == region || m.Member == database.Primary
	}

	o.mu.Lock()
	if o.watches == nil {
		o.watches = map[string]*watch{}
	}

	w, found := o.watches[database.Name]
	if !found {
		w = newWatch(o)
		o.watches[database.Name] = w
	}
	o.mu.Unlock()

	w.update(database, watched)
}

// Unwatch ends the observation of a database and returns when its connections are closed.
func (o *Observer) Unwatch(database string) {
	o.mu.Lock()
	w, found := o.watches[database]
	delete(o.watches, database)
	o.mu.Unlock()

	if found {
		w.stop()
	}
}

// Close ends all observation.
func (o *Observer) Close() {
	o.mu.Lock()
	watches := o.watches
	o.watches = nil
	o.mu.Unlock()

	for _, w := range watches {
		w.cancel()
	}

	for _, w := range watches {
		w.stop()
	}
}

// Views appends what is known of a database's members.
func (o *Observer) Views(database string, into []View) []View {
	w := o.find(database)
	if w == nil {
		return into
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	return w.tracker.views(o.Clock.Now(), into)
}

// RecordPosition records a position that was read with a unit sent at the time sent.
func (o *Observer) RecordPosition(member lab.Announcement, sentAt time.Duration, position labupstream.Position) {
	if w := o.find(member.Database); w != nil {
		w.recordPosition(member, sentAt, position)
	}
}

// MarkUsed tells that a database has work, so that its members are polled at the full rate.
func (o *Observer) MarkUsed(database string) {
	if w := o.find(database); w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()

		w.lastUsed = o.Clock.Now()
	}
}

// Wait polls a database's members until the views satisfy a condition or the context ends. All who wait share polls.
func (o *Observer) Wait(ctx context.Context, database string, satisfied func([]View) bool) error {
	w := o.find(database)
	if w == nil {
		return errNotWatched
	}

	return w.wait(ctx, satisfied)
}

func (o *Observer) find(database string) *watch {
	o.mu.RLock()
	defer o.mu.RUnlock()

	return o.watches[database]
}

func (o *Observer) report(statuses []lab.MemberStatus) {
	if o.StatusObserver == nil {
		return
	}

	for _, s := range statuses {
		o.StatusObserver.Observe(s)
	}
}

func (o *Observer) interval() time.Duration {
	return positiveOr(o.Interval, defaultInterval)
}

func (o *Observer) unreachableAfter() time.Duration {
	return positiveOr(o.UnreachableAfter, defaultUnreachableAfter)
}

func (o *Observer) reportInterval() time.Duration {
	return positiveOr(o.ReportInterval, defaultReportInterval)
}

func (o *Observer) connectTimeout() time.Duration {
	return positiveOr(o.ConnectTimeout, defaultConnectTimeout)
}

func (o *Observer) probeTimeout() time.Duration {
	return positiveOr(o.ProbeTimeout, defaultProbeTimeout)
}

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}

	return fallback
}
