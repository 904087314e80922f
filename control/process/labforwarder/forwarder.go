package labforwarder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxBatch is the number of announcements that are sent at once without waiting for others.
const maxBatch = 256

// Forwarder collects announcements. Its exported fields are set before use; it is safe for concurrent use.
type Forwarder struct {
	Window  time.Duration // how long an announcement that is not urgent waits for others
	Spacing time.Duration // minimum time between two calls with urgent announcements
	Timeout time.Duration // bounds a call
	// Send sends announcements to the leader. It returns a text for each that the leader has refused, empty for the others.
	Send func(context.Context, []lab.Announcement) ([]string, error)

	mutex  sync.Mutex
	queue  []waiting
	timer  *time.Timer // sends the queue; nil while it is empty
	dueAt  time.Time   // time at which timer fires
	sentAt time.Time   // time at which the queue was last sent
}

type waiting struct {
	announcement lab.Announcement
	result       chan error
}

// Forward returns nil once the leader has received an announcement. Urgent ones don't wait for others
// unless there are many.
func (f *Forwarder) Forward(ctx context.Context, a lab.Announcement, urgent bool) error {
	w := waiting{a, make(chan error, 1)}
	f.add(w, urgent)

	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return errors.Newf("wait for the leader: %w", ctx.Err())
	}
}

func (f *Forwarder) add(w waiting, urgent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.queue = append(f.queue, w)

	now := time.Now()

	due := now.Add(f.Window)
	if urgent {
		due = f.sentAt.Add(f.Spacing)
	}

	switch {
	case len(f.queue) >= maxBatch || !due.After(now):
		go f.send(f.takeLocked())
	case f.timer == nil:
		f.dueAt, f.timer = due, time.AfterFunc(due.Sub(now), f.sendQueue)
	case due.Before(f.dueAt):
		f.timer.Reset(due.Sub(now))
		f.dueAt = due
	}
}

func (f *Forwarder) sendQueue() {
	f.mutex.Lock()
	batch := f.takeLocked()
	f.mutex.Unlock()

	f.send(batch)
}

// takeLocked returns the queue and empties it. The mutex must be held.
func (f *Forwarder) takeLocked() []waiting {
	batch := f.queue
	f.queue, f.sentAt = nil, time.Now()

	if f.timer != nil {
		f.timer.Stop() // one that has fired already sends what is queued by then
		f.timer = nil
	}

	return batch
}

func (f *Forwarder) send(batch []waiting) {
	if len(batch) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()

	all := make([]lab.Announcement, len(batch))
	for i, w := range batch {
		all[i] = w.announcement
	}

	refusals, err := f.Send(ctx, all)
	if err == nil && len(refusals) != len(batch) {
		err = errors.Newf("%d results for %d announcements", len(refusals), len(batch))
	}

	for i, w := range batch {
		switch {
		case err != nil:
			w.result <- errors.Newf("forward announcements: %w", err)
		case refusals[i] != "":
			w.result <- errors.Newf("leader: %s", refusals[i])
		default:
			w.result <- nil
		}
	}
}
