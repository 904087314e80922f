package labtypedproxy

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/connection/labpool"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// fakeMember responds, or times out while unresponsive is set. It implements lab.MemberDialer and lab.MemberConnection.
type fakeMember struct {
	unresponsive atomic.Bool
	err          error // returned by Run, if not nil
}

func (m *fakeMember) Dial(context.Context, lab.Announcement, string) (lab.MemberConnection, error) {
	return m, nil
}

func (*fakeMember) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, os.ErrDeadlineExceeded
}

func (m *fakeMember) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	if m.unresponsive.Load() {
		return nil, os.ErrDeadlineExceeded
	}

	if m.err != nil {
		return nil, m.err
	}

	out := make([]lab.OperationResult, len(o))
	for i := range out {
		out[i].Status = lab.StatusIdle
	}

	return out, nil
}

func (*fakeMember) Drain(time.Time) (lab.TransactionStatus, error) { return 0, os.ErrDeadlineExceeded }
func (*fakeMember) InStep(time.Time) error                         { return nil }
func (*fakeMember) Alive() bool                                    { return true }
func (*fakeMember) Close()                                         {}

func newProxy(t *testing.T, m *fakeMember) (*Proxy, *labpool.Pool) {
	t.Helper()

	d := &labdirectory.Directory{
		AvailabilityZone: "z", Region: "west", Dialer: m, Random: labrandom.NewSeeded(1),
		Clock: labclock.NewBootClock(), Log: zerolog.Nop(),
		OnPrimaryUnreachable: func() {},
	}
	d.Install(&lab.Configuration{Version: 1, Services: []lab.Service{{Name: "s", MaxConnections: 24}}})
	d.UpdateMembers([]lab.Announcement{{Database: "s", Member: "a", Address: "127.0.0.1:1", Incarnation: 1}},
		map[string]string{"s": "a"}, true)

	p, ok := d.LocalPrimaryPool("s")
	assert.Assert(t, ok)

	c, err := p.Acquire(t.Context(), lab.AcquireRequest{})
	assert.NilError(t, err)
	c.Release()

	return &Proxy{Clock: labclock.NewBootClock(), directory: d}, p
}

// TestCheckUnreachable checks that an unreachable member is used directly again once it responds. Its statements are
// relayed in the meantime, so only a ping of this proxy can find that out.
func TestCheckUnreachable(t *testing.T) {
	m := &fakeMember{}
	p, pool := newProxy(t, m)

	m.unresponsive.Store(true)
	p.directory.RecordUnreachable(pool.Member())
	p.checkUnreachable(pool)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, p.directory.Unreachable(pool.Member()), "a member that doesn't respond stays unreachable")

	m.unresponsive.Store(false)

	c, err := pool.Acquire(t.Context(), lab.AcquireRequest{})
	assert.NilError(t, err)
	c.Release()
	p.directory.RecordUnreachable(pool.Member())

	for end := time.Now().Add(2 * time.Second); p.directory.Unreachable(pool.Member()) && time.Now().Before(end); {
		p.checkUnreachable(pool)
		time.Sleep(5 * time.Millisecond)
	}

	assert.Assert(t, !p.directory.Unreachable(pool.Member()))
}

// TestQueryPosition checks that a primary that answers is not recorded as unreachable, which could replace it.
func TestQueryPosition(t *testing.T) {
	for _, c := range []struct {
		name        string
		err         error
		unreachable bool
	}{
		{"position", nil, false},
		{"timeout", os.ErrDeadlineExceeded, true},
		{"out of step", lab.UnknownOutcomeError(lab.ReasonOutOfStep, os.ErrInvalid), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, pool := newProxy(t, &fakeMember{err: c.err})
			p.queryPosition("s", pool)
			assert.Equal(t, p.directory.Unreachable(pool.Member()), c.unreachable)
		})
	}
}
