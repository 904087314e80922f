package labdirectory

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// writableMember is a member that commits each operation under the next number.
type writableMember struct {
	fakeDialer
	fakeConnection

	number uint64
}

func (m *writableMember) Dial(context.Context, lab.Announcement, string) (lab.MemberConnection, error) {
	return m, nil
}

func (m *writableMember) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	out := make([]lab.OperationResult, len(o))
	for i := range out {
		m.number++
		out[i] = lab.OperationResult{Proof: "p", Status: lab.StatusIdle, Position: lab.CommitPosition{Term: 1, Number: m.number}}
	}

	return out, nil
}

func TestAcknowledgedPositions(t *testing.T) {
	replicated := []lab.Service{{Name: "s", MaxConnections: 24, SyncReplicas: 1}}
	start := func(t *testing.T) (*Directory, lab.PooledConnection) {
		t.Helper()

		d, _ := newDirectory(24)
		d.Dialer = &writableMember{}
		d.Install(&lab.Configuration{Version: 2, Services: replicated})
		// The pools of the first members have another dialer.
		d.UpdateMembers([]lab.Announcement{{Database: "s", Member: "a", Address: "127.0.0.1:1", Incarnation: 2}}, nil, true)

		p, ok := d.LocalPrimaryPool("s")
		assert.Assert(t, ok)

		c, err := p.Acquire(t.Context(), lab.AcquireRequest{})
		assert.NilError(t, err)

		return d, c
	}
	write := func(t *testing.T, c lab.PooledConnection) {
		t.Helper()

		_, err := c.Run(time.Now().Add(time.Second), nil, lab.Operation{Kind: lab.OperationWrite})
		assert.NilError(t, err)
	}
	assertPosition := func(t *testing.T, d *Directory, want uint64) {
		t.Helper()

		p := d.AcknowledgedPositions()
		if want == 0 {
			assert.Equal(t, len(p), 0)

			return
		}

		assert.Equal(t, len(p), 1)
		assert.Equal(t, p[0], lab.AcknowledgedPosition{Service: "s", Position: lab.CommitPosition{Term: 1, Number: want}})
	}
	removed := []lab.Announcement{{Database: "s", Member: "a", Address: "127.0.0.1:1", Incarnation: 2, Terminated: true}}

	t.Run("position before the newest write", func(t *testing.T) {
		d, c := start(t)
		write(t, c)
		assertPosition(t, d, 0)
		write(t, c)
		assertPosition(t, d, 1)
	})

	t.Run("after the member has ended", func(t *testing.T) {
		d, c := start(t)
		write(t, c)
		write(t, c)
		c.Release()
		d.UpdateMembers(removed, nil, true)
		assertPosition(t, d, 1)
		assert.Equal(t, len(d.services["s"].closedPools), 0)
		assertPosition(t, d, 1)
	})

	t.Run("response after the member has been replaced", func(t *testing.T) {
		d, c := start(t)
		write(t, c)
		d.UpdateMembers([]lab.Announcement{{Database: "s", Member: "a", Address: "127.0.0.1:1", Incarnation: 3}}, nil, true)
		assertPosition(t, d, 0)
		write(t, c)
		assertPosition(t, d, 1)
		c.Release()
		assertPosition(t, d, 1)
		assert.Equal(t, len(d.services["s"].closedPools), 0)
	})

	t.Run("service without synchronous replicas", func(t *testing.T) {
		d, c := start(t)
		write(t, c)
		write(t, c)
		d.Install(&lab.Configuration{Version: 3, Services: []lab.Service{{Name: "s", MaxConnections: 24}}})
		assertPosition(t, d, 0)
	})

	t.Run("service that is no longer configured", func(t *testing.T) {
		d, c := start(t)
		write(t, c)
		write(t, c)
		c.Release()
		d.UpdateMembers(removed, nil, true)
		d.Install(&lab.Configuration{Version: 3})
		assertPosition(t, d, 0)
		d.Install(&lab.Configuration{Version: 4, Services: replicated})
		assertPosition(t, d, 0)
	})
}
