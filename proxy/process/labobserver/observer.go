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

	// waitingInterval is the delay between two polls while commits wait for a replica. A poll itself takes one round
	// trip in addition.
	waitingInterval = 2 * time.Millisecond

	// A database that has not been used for idleAfter is polled idleFactor times less often, so that polling 1,500
	// databases costs little. When connecting to one of its members fails, the database is polled at the full rate
	// again, so that the member is still reported as unreachable within UnreachableAfter.
	idleAfter  = 5 * time.Second
	idleFactor = 4
)

var errNotWatched = errors.New("database is no longer observed")

// Observer polls the members of the databases that it watches.
type Observer struct {
	Clock            lab.Clock
	Source           Source
	StatusObserver   lab.MemberObserver // receives the statuses of members; may be nil
	Interval         time.Duration      // time between two polls of a member; 100 ms when zero
	UnreachableAfter time.Duration      // how long connecting must fail until a member is unreachable; 1 s when zero
	ReportInterval   time.Duration      // time between two reports if only the position changed; 1 s when zero
	ConnectTimeout   time.Duration      // timeout of opening a connection; 500 ms when zero
	ProbeTimeout     time.Duration      // timeout of a probe; 300 ms when zero

	mu      sync.RWMutex
	watches map[string]*watch // watches by database
}

// Watch starts or updates the observation of a database from a region. It observes the members in that region and the
// primary, or all members when the primary is in that region.
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

// Unwatch stops observing a database and returns when its connections are closed.
func (o *Observer) Unwatch(database string) {
	o.mu.Lock()
	w, found := o.watches[database]
	delete(o.watches, database)
	o.mu.Unlock()

	if found {
		w.stop()
	}
}

// Close stops observing all databases and returns when their connections are closed.
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

// Views appends a view of each observed member of a database to the slice into, and returns the extended slice.
func (o *Observer) Views(database string, into []View) []View {
	w := o.find(database)
	if w == nil {
		return into
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	return w.tracker.views(o.Clock.Now(), into)
}

// RecordPosition records a position that a member reported outside of the observer's polls, for example in the response
// to a message batch. The parameter sentAt is the time at which the batch or query was sent.
func (o *Observer) RecordPosition(member lab.Announcement, sentAt time.Duration, position labupstream.Position) {
	if w := o.find(member.Database); w != nil {
		w.recordPosition(member, sentAt, position)
	}
}

// MarkUsed records that a database is in use, so that its members are polled at the full rate.
func (o *Observer) MarkUsed(database string) {
	if w := o.find(database); w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()

		w.lastUsed = o.Clock.Now()
	}
}

// Wait polls a database's members until their views satisfy a condition or the context ends. Concurrent calls share the
// polls.
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
