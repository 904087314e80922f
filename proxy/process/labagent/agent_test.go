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

// fakePeers responds to heartbeats with a function and records the called addresses.
type fakePeers struct {
	lab.PeerClient
	addresses []string
	respond   func(address string, h lab.Heartbeat) (lab.HeartbeatResponse, error)
}

func (p *fakePeers) Call(_ context.Context, address string, _ lab.Method, request, response any) error {
	p.addresses = append(p.addresses, address)
	got, err := p.respond(address, request.(lab.Heartbeat))
	*response.(*lab.HeartbeatResponse) = got

	return err
}

func newAgent(respond func(address string, h lab.Heartbeat) (lab.HeartbeatResponse, error)) (*Agent, *fakeClock, *fakePeers) {
	c := &fakeClock{now: time.Hour}
	p := &fakePeers{respond: respond}
	a := &Agent{
		Self: lab.Instance{ID: "proxy-1"}, Peers: p, Clock: c, Random: labrandom.NewSeeded(1), Catalog: lablocalcatalog.New(),
		ControlAddresses: []string{"c1", "c2", "c3"}, HeldGrants: func() []lab.Grant { return nil }, Log: zerolog.Nop(),
	}
	a.initialize()

	return a, c, p
}

var role = lab.GatewayRole{Database: "d", Region: "r"}

func newResponse(h lab.Heartbeat, term, index uint64) lab.HeartbeatResponse {
	return lab.HeartbeatResponse{
		RequestID: h.RequestID, LeaderTerm: term, TTL: 3 * time.Second,
		Grants: []lab.Grant{{Role: role, Epoch: 1, Term: 1, Writable: true}},
		Delta:  lab.CatalogDelta{Index: index, Version: index},
	}
}

func assertGranted(t *testing.T, a *Agent, want bool) {
	t.Helper()

	_, ok := a.Grant(role)
	assert.Equal(t, ok, want)
	assert.Equal(t, a.Valid(), want)
}

// Guards against counting the duration of a lease from the arrival of the response. After a slow response, the proxy
// would then use the lease past its expiry.
func TestLeaseCountsFromSending(t *testing.T) {
	var c *fakeClock

	a, c, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		c.now += 2 * time.Second

		return newResponse(h, 1, 1), nil
	})
	assert.NilError(t, sendHeartbeat(a))
	assertGranted(t, a, true)

	c.now += time.Second
	assertGranted(t, a, false)
}

// Guards against an isolated former leader that renews a lease or restores an old catalog.
func TestOlderLeaderRefused(t *testing.T) {
	term, index := uint64(5), uint64(9)
	a, c, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		return newResponse(h, term, index), nil
	})
	assert.NilError(t, sendHeartbeat(a))

	term, index = 4, 12
	c.now += 2500 * time.Millisecond
	assert.ErrorContains(t, sendHeartbeat(a), "stale")
	_, appliedIndex := a.Catalog.Version()
	assert.Equal(t, appliedIndex, uint64(9))

	c.now += time.Second
	assertGranted(t, a, false)
}

// Guards against accepting the response to an earlier heartbeat. The lease would then count from the time at which a
// later heartbeat was sent.
func TestResponseToOtherRequestRefused(t *testing.T) {
	a, _, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		h.RequestID--

		return newResponse(h, 1, 1), nil
	})
	assert.ErrorContains(t, sendHeartbeat(a), "stale")
	assertGranted(t, a, false)
}

// Guards against a failed heartbeat after which the status of an unreachable primary is not sent again.
func TestStatusSurvivesLostHeartbeat(t *testing.T) {
	lost := true

	var got []lab.MemberStatus

	a, _, p := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		if lost {
			return lab.HeartbeatResponse{}, errors.New("lost")
		}

		got = h.Statuses

		return newResponse(h, 1, 1), nil
	})
	a.Observe(lab.MemberStatus{Database: "d", Member: "m"})
	assert.ErrorContains(t, sendHeartbeat(a), "lost")

	lost = false

	assert.NilError(t, sendHeartbeat(a))
	assert.Equal(t, len(got), 1)
	assert.Assert(t, p.addresses[0] != p.addresses[1])
}

func TestRedirectToLeader(t *testing.T) {
	a, _, p := newAgent(func(address string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		if address != "c3" {
			return lab.HeartbeatResponse{LeaderAddress: "c3"}, nil
		}

		return newResponse(h, 1, 1), nil
	})
	for sendHeartbeat(a) != nil {
		assert.Assert(t, len(p.addresses) < 3)
	}

	assert.Equal(t, p.addresses[len(p.addresses)-1], "c3")
}

// Guards against an order in which all proxies try the same control instance second, after the first one is lost.
func TestRotateSpreads(t *testing.T) {
	count := map[string]int{}
	for i := range 830 {
		count[RotateAddresses([]string{"a", "b", "c", "d", "e"}, lab.InstanceID("proxy-"+string(rune('a'+i%26))+string(rune('a'+i/26))))[1]]++
	}

	for _, n := range count {
		assert.Assert(t, n > 830/5*7/10 && n < 830/5*13/10, "%v", count)
	}
}

func sendHeartbeat(a *Agent) error {
	_, err := a.sendHeartbeat(context.Background())

	return err
}

// Guards against reporting a released grant only with the next regular heartbeat, while the control group waits for the
// release.
func TestPauseWhenChangeIsPending(t *testing.T) {
	nextDelay := 50 * time.Millisecond
	a, _, _ := newAgent(func(_ string, h lab.Heartbeat) (lab.HeartbeatResponse, error) {
		g := newResponse(h, 1, 1)
		g.NextDelay = nextDelay

		return g, nil
	})

	delay, err := a.sendHeartbeat(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, delay, nextDelay)

	nextDelay = 0
	delay, err = a.sendHeartbeat(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, delay, HeartbeatInterval)
}
