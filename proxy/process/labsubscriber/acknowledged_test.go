package labsubscriber

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// recordingControl is a control instance that records the acknowledged positions in the watches that it answers.
type recordingControl struct {
	process, epoch uint64
	down           map[string]bool // by address
	zone           string          // availability zone of the instance b
	received       []lab.AcknowledgedPosition
}

func (c *recordingControl) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errNoResponse
}

func (c *recordingControl) Call(_ context.Context, address string, _ lab.Method, r, response any) error {
	if c.down[address] {
		return errNoResponse
	}

	c.received = r.(lab.WatchRequest).Acknowledged
	*response.(*lab.WatchResponse) = lab.WatchResponse{
		LeaderEpoch: c.epoch, ClockEpoch: c.process, ControlAddresses: []string{"a", "b"}, ControlZones: []string{"x", c.zone},
	}

	return nil
}

// member commits each operation under the next number.
type member struct{ number uint64 }

func (m *member) Dial(context.Context, lab.Announcement, string) (lab.MemberConnection, error) {
	return m, nil
}

func (*member) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errNoResponse
}

func (m *member) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	m.number++

	p := lab.CommitPosition{Term: 1, Number: m.number}

	return slices.Repeat([]lab.OperationResult{{Proof: "p", Status: lab.StatusIdle, Position: p}}, len(o)), nil
}

func (*member) Drain(time.Time) (lab.TransactionStatus, error) { return lab.StatusIdle, nil }
func (*member) InStep(time.Time) error                         { return nil }
func (*member) Alive() bool                                    { return true }
func (*member) Close()                                         {}

// TestAcknowledged guards against a control instance that never learns what this proxy has seen acknowledged, since the
// proxy has told another one.
func TestAcknowledged(t *testing.T) {
	start := func(t *testing.T) (*Subscriber, *recordingControl, func()) {
		t.Helper()

		d := &labdirectory.Directory{
			Dialer: &member{}, Clock: labclock.NewBootClock(), Random: labrandom.NewSeeded(1), Log: zerolog.Nop(),
			OnPrimaryUnreachable: func() {},
		}
		d.Install(&lab.Configuration{Version: 1, Services: []lab.Service{{Name: "s", MaxConnections: 24, SyncReplicas: 1}}})
		d.UpdateMembers([]lab.Announcement{
			{Database: "s", Member: "m", Address: "127.0.0.1:1", Incarnation: 1, Primary: true},
		}, map[string]string{"s": "m"}, true)
		d.SetProxies([]lab.Instance{{ID: "p"}})

		write := func() {
			p, ok := d.PrimarySource("s")
			assert.Assert(t, ok)

			c, err := p.Acquire(t.Context(), lab.AcquireRequest{})
			assert.NilError(t, err)

			_, err = c.Run(time.Now().Add(time.Second), nil, lab.Operation{Kind: lab.OperationWrite})
			assert.NilError(t, err)
			c.Release()
		}
		c := &recordingControl{process: 1, epoch: 1, down: map[string]bool{}, zone: "y"}
		s := &Subscriber{
			Proxy: lab.Instance{ID: "p", AvailabilityZone: "z"}, Peers: c, Directory: d,
			Seeds: func() []string { return []string{"a", "b"} },
			Clock: labclock.NewBootClock(), Random: labrandom.NewSeeded(1), Log: zerolog.Nop(),
		}
		s.prepare()
		write()
		write()

		return s, c, write
	}
	assertReceived := func(t *testing.T, s *Subscriber, c *recordingControl, want ...uint64) {
		t.Helper()

		c.received = nil

		assert.NilError(t, s.watch(t.Context()))

		var got []uint64
		for _, p := range c.received {
			got = append(got, p.Position.Number)
		}

		assert.Assert(t, slices.Equal(got, want), "%v", got)
	}
	// settle sends the position to the instance that answers from now on.
	settle := func(t *testing.T, s *Subscriber, c *recordingControl) {
		t.Helper()
		assertReceived(t, s, c, 1) // to an instance that is not known yet
		assertReceived(t, s, c, 1) // the first watch at a known instance
		assertReceived(t, s, c)
	}

	t.Run("changes only", func(t *testing.T) {
		s, c, write := start(t)
		settle(t, s, c)
		write()
		assertReceived(t, s, c, 2)
		assertReceived(t, s, c)
	})

	t.Run("all after a new leader", func(t *testing.T) {
		s, c, _ := start(t)
		settle(t, s, c)
		c.epoch++
		assertReceived(t, s, c)
		assertReceived(t, s, c, 1)
		assertReceived(t, s, c)
	})

	t.Run("all after a restart of the instance", func(t *testing.T) {
		s, c, _ := start(t)
		settle(t, s, c)
		c.process++
		assertReceived(t, s, c)
		assertReceived(t, s, c, 1)
	})

	t.Run("all to another instance", func(t *testing.T) {
		s, c, _ := start(t)
		settle(t, s, c)
		c.down[s.current] = true
		err := s.watch(t.Context())
		assert.ErrorIs(t, err, errNoResponse)
		s.recordFailure(err)
		assertReceived(t, s, c, 1)
	})

	t.Run("all to a nearer instance", func(t *testing.T) {
		s, c, _ := start(t)
		s.current = "a"
		settle(t, s, c)
		c.zone = "z"
		assertReceived(t, s, c)
		assertReceived(t, s, c, 1)
		assert.Equal(t, s.current, "b")
	})

	t.Run("again after a watch without a response", func(t *testing.T) {
		s, c, write := start(t)
		settle(t, s, c)
		write()

		c.down["a"], c.down["b"] = true, true
		assert.ErrorIs(t, s.watch(t.Context()), errNoResponse)
		clear(c.down)
		assertReceived(t, s, c, 2)
	})
}
