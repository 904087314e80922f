package labsubscriber

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

const validFor = 2500 * time.Millisecond

// manualClock is a clock that tests advance.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration                       { return time.Duration(c.now.Load()) }
func (*manualClock) Wall() time.Time                            { return time.Time{} }
func (*manualClock) Sleep(context.Context, time.Duration) error { return nil }
func (c *manualClock) advance(d time.Duration)                  { c.now.Add(int64(d)) }

// grantingControl is a control group whose instances answer as the test determines.
type grantingControl struct {
	answer func(ctx context.Context, address string, r lab.WatchRequest) (lab.WatchResponse, error)
}

func (*grantingControl) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errNoResponse
}

func (c *grantingControl) Call(ctx context.Context, address string, _ lab.Method, r, response any) error {
	a, err := c.answer(ctx, address, r.(lab.WatchRequest))
	*response.(*lab.WatchResponse) = a

	return err
}

func revision(n uint64) lab.PermissionRevision {
	return lab.PermissionRevision{Term: 1, Number: n}
}

// granting is a response that allows commits of the service s at the given members.
func granting(number uint64, members ...string) lab.WatchResponse {
	g := lab.PermissionGrant{Revision: revision(number), ValidFor: validFor}
	for _, m := range members {
		g.Permissions = append(g.Permissions, lab.CommitPermission{Service: "s", Member: m})
	}

	return lab.WatchResponse{LeaderEpoch: 1, ClockEpoch: 1, Permissions: g}
}

// TestPermissions checks that a proxy commits no longer than control has granted, and that control learns at once when
// it no longer commits.
func TestPermissions(t *testing.T) {
	start := func(t *testing.T) (*Subscriber, *grantingControl, *manualClock) {
		t.Helper()

		c, k := &grantingControl{}, &manualClock{}
		k.advance(time.Hour)

		d := &labdirectory.Directory{Clock: k, Random: labrandom.NewSeeded(1), Log: zerolog.Nop()}
		s := &Subscriber{
			Proxy: lab.Instance{ID: "p"}, Peers: c, Directory: d, Seeds: func() []string { return []string{"a"} },
			Clock: k, Random: labrandom.NewSeeded(1), Log: zerolog.Nop(),
		}
		d.OnCommitsDrained = s.ReportNow
		s.prepare()

		return s, c, k
	}
	// known makes the next watch one at a known instance.
	known := func(s *Subscriber) { s.current = "a" }
	assertEndsIn := func(t *testing.T, s *Subscriber, k *manualClock, d time.Duration) {
		t.Helper()

		k.advance(d - 1)
		assert.Assert(t, s.Directory.Permissions().Allows("s", "m"))
		k.advance(1)
		assert.Assert(t, !s.Directory.Permissions().Allows("s", "m"))
	}

	for name, prepare := range map[string]func(*Subscriber){"watch": known, "search": func(*Subscriber) {}} {
		t.Run("time counts from the request of a "+name, func(t *testing.T) {
			s, c, k := start(t)
			prepare(s)

			c.answer = func(context.Context, string, lab.WatchRequest) (lab.WatchResponse, error) {
				k.advance(2 * time.Second)

				return granting(1, "m"), nil
			}
			assert.NilError(t, s.watch(t.Context()))
			assertEndsIn(t, s, k, validFor-2*time.Second)
		})
	}

	t.Run("time counts from the request to the instance that answers", func(t *testing.T) {
		s, c, k := start(t)
		c.answer = func(_ context.Context, address string, _ lab.WatchRequest) (lab.WatchResponse, error) {
			k.advance(time.Second)

			if address == "a" {
				return lab.WatchResponse{Leader: "b"}, nil
			}

			return granting(1, "m"), nil
		}
		assert.NilError(t, s.watch(t.Context()))
		assertEndsIn(t, s, k, validFor-time.Second)
	})

	t.Run("failed watch changes nothing", func(t *testing.T) {
		s, c, _ := start(t)
		known(s)

		c.answer = func(context.Context, string, lab.WatchRequest) (lab.WatchResponse, error) {
			return granting(1, "m"), errNoResponse
		}
		assert.ErrorIs(t, s.watch(t.Context()), errNoResponse)
		assert.Equal(t, s.Directory.Permissions().Report(), lab.PermissionReport{})
	})

	t.Run("interrupted watch changes nothing", func(t *testing.T) {
		s, c, _ := start(t)
		known(s)

		c.answer = func(ctx context.Context, _ string, _ lab.WatchRequest) (lab.WatchResponse, error) {
			<-ctx.Done()

			return granting(1, "m"), nil
		}
		s.ReportNow()
		assert.NilError(t, s.watch(t.Context()))
		assert.Equal(t, s.Directory.Permissions().Report(), lab.PermissionReport{})
	})

	t.Run("configuration that can't be applied", func(t *testing.T) {
		s, c, _ := start(t)
		known(s)

		c.answer = func(context.Context, string, lab.WatchRequest) (lab.WatchResponse, error) {
			a := granting(1, "m")
			a.Configuration = []byte("x")

			return a, nil
		}
		assert.ErrorContains(t, s.watch(t.Context()), "apply configuration")
		assert.Assert(t, s.Directory.Permissions().Allows("s", "m"))
	})

	t.Run("reports what is applied and confirmed", func(t *testing.T) {
		s, c, k := start(t)
		known(s)

		var got []lab.WatchRequest

		next := granting(1, "m")
		c.answer = func(_ context.Context, _ string, r lab.WatchRequest) (lab.WatchResponse, error) {
			got = append(got, r)

			return next, nil
		}
		assert.NilError(t, s.watch(t.Context()))

		_, ok := s.Directory.Permissions().Begin("s", "m")
		assert.Assert(t, ok)

		next = granting(2)

		for range 2 {
			assert.NilError(t, s.watch(t.Context()))
		}

		k.advance(got[2].MaxWait)
		assert.NilError(t, s.watch(t.Context()))

		for i, want := range []lab.PermissionReport{
			{},
			{Applied: revision(1), Confirmed: revision(1)},
			{Applied: revision(2), Confirmed: revision(1)},
			{Applied: revision(2), Confirmed: revision(2)},
		} {
			assert.Equal(t, got[i].Permissions, want)
		}

		assert.Equal(t, got[1].MaxWait, watchWait)
		assert.Assert(t, got[2].MaxWait > 0 && got[2].MaxWait < watchWait, "the report must not wait for a change")
		assert.Equal(t, got[3].MaxWait, watchWait)
	})

	t.Run("end of the last commit interrupts the watch", func(t *testing.T) {
		s, c, _ := start(t)
		known(s)

		c.answer = func(context.Context, string, lab.WatchRequest) (lab.WatchResponse, error) {
			return granting(1, "m"), nil
		}
		assert.NilError(t, s.watch(t.Context()))

		commit, ok := s.Directory.Permissions().Begin("s", "m")
		assert.Assert(t, ok)

		c.answer = func(context.Context, string, lab.WatchRequest) (lab.WatchResponse, error) { return granting(2), nil }
		assert.NilError(t, s.watch(t.Context()))

		c.answer = func(ctx context.Context, _ string, _ lab.WatchRequest) (lab.WatchResponse, error) {
			commit.End()
			<-ctx.Done()

			return lab.WatchResponse{}, ctx.Err()
		}

		started := time.Now()
		assert.NilError(t, s.watch(t.Context()))
		assert.Assert(t, time.Since(started) < watchWait)
		assert.Equal(t, s.request(watchWait).Permissions.Confirmed, revision(2))
	})
}
