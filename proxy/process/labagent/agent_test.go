package labagent

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/version/lablocalcatalog"
)

type fakeClock struct {
	lab.Clock
	now time.Duration
}

func (c *fakeClock) Now() time.Duration { return c.now }

// fakePeers answers heartbeats with a function.
type fakePeers struct {
	lab.PeerClient
	asked  []string
	answer func(address string, h lab.Heartbeat) (lab.HeartbeatResponse, error)
}

func (p *fakePeers) Call(_ context.Context, address string, _ lab.Method, request, answer any) error {
	p.asked = append(p.asked, address)
	got, err := p.answer(address, request.(lab.Heartbeat))
	*answer.(*lab.HeartbeatResponse) = got

	return err
}

func newAgent(answer func(address string, h lab.Heartbeat) (lab.HeartbeatResponse, error)) (*Agent, *fakeClock, *fakePeers) {
	c := &fakeClock{now: time.Hour}
	p := &fakePeers{answer: answer}
	a := &Agent{
		Self: lab.Instance{ID: "proxy-1"}, Peers: p, Clock: c, Random: labrandom.NewSeeded(1), Routes: lablocalcatalog.New(),
		Control: []string{"c1", "c2", "c3"}, Held: func() []lab.Grant { return nil }, Log: zerolog.Nop(),
	}
	a.start()

	return a, c, p
}

var duty = lab.GatewayRole{Database: "d", Region: "r"}

func granting(h lab.Heartbeat, term, index uint64) lab.HeartbeatResponse {
	return lab.HeartbeatResponse{
		RequestID: h.RequestID, LeaderTerm: term, TTL: 3 * time.Second,
		Grants: []lab.Grant{{Role: duty, Epoch: 1, Term: 1, Writable: true}},
		Delta:  lab.CatalogDelta{Index: index, Version: index},
	}
}

func granted(t *testing.T, a *Agent, want bool) {
	t.Helper()

	_, ok := a.Grant(duty)
	assert.Equal(t, ok, want)
	assert.Equal(t, a.Valid(), want)
}

// Guards against a lease that is counted from the answer's arrival, which a slow answer would stretch past its end.
func TestLeaseCountsFromSending(t *testing.T) {
	var c *fakeClock

	a, c, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		c.now += 2 * time.Second

		return granting(h, 1, 1), nil
	})
	assert.NilError(t, beat(a))
	granted(t, a, true)

	c.now += time.Second
	granted(t, a, false)
}

// Guards against an isolated former leader renewing leases or bringing back an old catalog.
func TestOlderLeaderRefused(t *testing.T) {
	term, index := uint64(5), uint64(9)
	a, c, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		return granting(h, term, index), nil
	})
	assert.NilError(t, beat(a))

	term, index = 4, 12
	c.now += 2500 * time.Millisecond
	assert.ErrorContains(t, beat(a), "stale")
	_, at := a.Routes.Version()
	assert.Equal(t, at, uint64(9))

	c.now += time.Second
	granted(t, a, false)
}

// Guards against an answer to an earlier heartbeat renewing the lease from a later sending time.
func TestAnswerToOtherRequestRefused(t *testing.T) {
	a, _, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		h.RequestID--

		return granting(h, 1, 1), nil
	})
	assert.ErrorContains(t, beat(a), "stale")
	granted(t, a, false)
}

// Guards against a reported loss of a primary being dropped with a lost heartbeat.
func TestStatusSurvivesLostHeartbeat(t *testing.T) {
	lost := true

	var got []lab.MemberStatus

	a, _, p := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		if lost {
			return lab.HeartbeatResponse{}, errors.New("lost")
		}

		got = h.Statuses

		return granting(h, 1, 1), nil
	})
	a.Observe(lab.MemberStatus{Database: "d", Member: "m"})
	assert.ErrorContains(t, beat(a), "lost")

	lost = false

	assert.NilError(t, beat(a))
	assert.Equal(t, len(got), 1)
	assert.Assert(t, p.asked[0] != p.asked[1])
}

func TestRedirectToLeader(t *testing.T) {
	a, _, p := newAgent(func(address string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		if address != "c3" {
			return lab.HeartbeatResponse{LeaderAddress: "c3"}, nil
		}

		return granting(h, 1, 1), nil
	})
	for beat(a) != nil {
		assert.Assert(t, len(p.asked) < 3)
	}

	assert.Equal(t, p.asked[len(p.asked)-1], "c3")
}

// Guards against all proxies of a lost control instance turning to the same other one.
func TestRotateSpreads(t *testing.T) {
	count := map[string]int{}
	for i := range 830 {
		count[Rotate([]string{"a", "b", "c", "d", "e"}, lab.InstanceID("proxy-"+string(rune('a'+i%26))+string(rune('a'+i/26))))[1]]++
	}

	for _, n := range count {
		assert.Assert(t, n > 830/5*7/10 && n < 830/5*13/10, "%v", count)
	}
}

func beat(a *Agent) error {
	_, err := a.beat(context.Background())

	return err
}

// Guards against a release that control waits for being confirmed only with the next regular heartbeat.
func TestPauseWhenChangeIsPending(t *testing.T) {
	again := 50 * time.Millisecond
	a, _, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		g := granting(h, 1, 1)
		g.NextDelay = again

		return g, nil
	})

	pause, err := a.beat(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, pause, again)

	again = 0
	pause, err = a.beat(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, pause, HeartbeatInterval)
}
