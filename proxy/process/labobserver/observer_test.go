package labobserver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// fakeSource counts connections and responds to every probe with the same position.
type fakeSource struct {
	mu                sync.Mutex
	offset            uint64
	unresponsive      bool // probes fail on connections that were opened before it was set
	refuseConnections bool // new connections and all probes fail
	opened            map[string]int
	openCount         int
	statuses          []lab.MemberStatus
}

type fakeReader struct {
	source     *fakeSource
	responsive bool // the connection was opened after fakeSource.unresponsive was set
}

func (f *fakeSource) Open(_ context.Context, m lab.Announcement) (Reader, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.refuseConnections {
		return nil, errors.New("refused")
	}

	f.opened[m.Member]++
	f.openCount++

	return &fakeReader{source: f, responsive: f.unresponsive}, nil
}

func (f *fakeSource) Observe(status lab.MemberStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses = append(f.statuses, status)
}

func (f *fakeSource) count(read func() int) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return read()
}

func (r *fakeReader) Probe(ctx context.Context) (labupstream.Position, error) {
	r.source.mu.Lock()
	unresponsive, offset := r.source.unresponsive && !r.responsive || r.source.refuseConnections, r.source.offset
	r.source.mu.Unlock()

	if unresponsive {
		<-ctx.Done()

		return labupstream.Position{}, ctx.Err()
	}

	return positionAt(true, 2, offset), nil
}

func (r *fakeReader) Abort() { r.Close() }

func (r *fakeReader) Close() {
	r.source.mu.Lock()
	defer r.source.mu.Unlock()
	r.source.openCount--
}

func startObserver(t *testing.T, region string) (*Observer, *fakeSource) {
	t.Helper()

	f := &fakeSource{opened: map[string]int{}, offset: 200}
	o := &Observer{
		Clock: labclock.New(), Source: f, StatusObserver: f, Interval: 10 * ms, UnreachableAfter: 150 * ms,
		ProbeTimeout: 30 * ms,
	}
	o.Watch(database(), region)
	t.Cleanup(o.Close)
	waitFor(t, func() bool { return len(o.Views("rota", nil)) > 0 && o.Views("rota", nil)[0].PositionKnown })

	return o, f
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()

	for end := time.Now().Add(3 * time.Second); !condition(); time.Sleep(ms) {
		assert.Assert(t, time.Now().Before(end), "condition not reached")
	}
}

// Guards against polling members that this region doesn't need, and against connections that stay open.
func TestWatched(t *testing.T) {
	members := func(region string, want int) func(*testing.T) {
		return func(t *testing.T) {
			o, f := startObserver(t, region)
			assert.Equal(t, len(o.Views("rota", nil)), want)
			o.Unwatch("rota")
			assert.Equal(t, f.count(func() int { return f.openCount }), 0)
		}
	}

	t.Run("all from the primary's region", members("coast", 3))
	t.Run("own members and the primary from another region", members("bothnia", 2))
}

// Guards against reporting a member as unreachable when only the open connection to it is unresponsive, and against not
// reporting the member when new connections fail too.
func TestUnresponsiveConnection(t *testing.T) {
	o, f := startObserver(t, "coast")
	unreachableMembers := func() int {
		count := 0
		for _, v := range o.Views("rota", nil) {
			if v.Unreachable {
				count++
			}
		}

		return count
	}
	f.mu.Lock()
	f.unresponsive, f.offset = true, 300
	f.mu.Unlock()
	waitFor(t, func() bool { return f.count(func() int { return f.opened["a"] }) == 2 })
	waitFor(t, func() bool { return o.Views("rota", nil)[0].Status.Replayed.Offset == 300 })
	assert.Equal(t, unreachableMembers(), 0)
	assert.Equal(t, f.count(func() int { return f.opened["a"] }), 2)
	waitFor(t, func() bool { return o.Views("rota", nil)[0].UnresponsiveAt > 0 })
	assert.Equal(t, f.count(func() int {
		unreachable := 0
		for _, st := range f.statuses {
			if !st.Reachable {
				unreachable++
			}
		}

		return unreachable
	}), 0, "a member with an unresponsive connection was reported as unreachable")

	f.mu.Lock()
	f.refuseConnections = true
	f.mu.Unlock()
	waitFor(t, func() bool { return unreachableMembers() == 3 })
}

// Guards against commits that wait until the next regular poll.
func TestWait(t *testing.T) {
	f := &fakeSource{opened: map[string]int{}, offset: 200}
	o := &Observer{Clock: labclock.New(), Source: f, Interval: time.Hour}
	o.Watch(database(), "coast")
	t.Cleanup(o.Close)
	waitFor(t, func() bool { return len(o.Views("rota", nil)) == 3 && o.Views("rota", nil)[0].PositionKnown })

	go func() {
		time.Sleep(20 * ms)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.offset = 400
	}()

	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()

	reached := func(views []View) bool {
		for _, v := range views {
			if v.Member.Member == "b" && v.Status.Received.Offset >= 400 {
				return true
			}
		}

		return false
	}
	assert.NilError(t, o.Wait(ctx, "rota", reached))

	t.Run("ends with the observation", func(t *testing.T) {
		ended := make(chan error, 1)
		go func() { ended <- o.Wait(ctx, "rota", func([]View) bool { return false }) }()
		time.Sleep(10 * ms)
		o.Unwatch("rota")
		assert.ErrorIs(t, <-ended, errNotWatched)
	})
}
