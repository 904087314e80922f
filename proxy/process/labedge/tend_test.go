package labedge

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
	"laburnumlock.dev/lab/proxy/connection/labbackend"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// member answers or is silent; it implements lab.MemberDialer and lab.MemberConnection.
type member struct{ silent atomic.Bool }

func (m *member) Dial(context.Context, lab.Announcement) (lab.MemberConnection, error) { return m, nil }

func (*member) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, os.ErrDeadlineExceeded
}

func (m *member) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	if m.silent.Load() {
		return nil, os.ErrDeadlineExceeded
	}

	out := make([]lab.OperationResult, len(o))
	for i := range out {
		out[i].Status = lab.StatusIdle
	}

	return out, nil
}

func (*member) Drain(time.Time) (lab.TransactionStatus, error) { return 0, os.ErrDeadlineExceeded }
func (*member) Alive() bool                                    { return true }
func (*member) Close()                                         {}

func newEdge(t *testing.T, m *member) (*Edge, *labbackend.Pool) {
	t.Helper()

	d := &labdirectory.Directory{
		AvailabilityZone: "z", Region: "west", Dialer: m, Random: labrandom.NewSeeded(1), Clock: labclock.NewBootClock(), Log: zerolog.Nop(),
		OnPrimaryUnreachable: func() {},
	}
	d.Install(&lab.Configuration{Version: 1, Services: []lab.Service{{Name: "s", MaxConnections: 24}}})
	d.UpdateMembers([]lab.Announcement{{Database: "s", Member: "a", Address: "127.0.0.1:1", Incarnation: 1}},
		map[string]string{"s": "a"}, true)

	p, ok := d.LocalPrimaryPool("s")
	assert.Assert(t, ok)

	c, err := p.Acquire(t.Context(), 0)
	assert.NilError(t, err)
	c.Release()

	return &Edge{Clock: labclock.NewBootClock(), directory: d}, p
}

// TestLook guards the way back of a member that was taken for lost: statements go over other proxies meanwhile, so only
// a question of this proxy's own shows that the member answers again.
func TestLook(t *testing.T) {
	m := &member{}
	e, p := newEdge(t, m)

	m.silent.Store(true)
	e.directory.RecordUnreachable(p.Member())
	e.look(p)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, e.directory.Unreachable(p.Member()), "a member that is silent stays so")

	m.silent.Store(false)

	c, err := p.Acquire(t.Context(), 0)
	assert.NilError(t, err)
	c.Release()
	e.directory.RecordUnreachable(p.Member())

	for end := time.Now().Add(2 * time.Second); e.directory.Unreachable(p.Member()) && time.Now().Before(end); {
		e.look(p)
		time.Sleep(5 * time.Millisecond)
	}

	assert.Assert(t, !e.directory.Unreachable(p.Member()))
}
