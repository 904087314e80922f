package labcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// faultInjector injects faults into an environment, in an order that follows from a seed.
type faultInjector struct {
	*environment
	random      *rand.Rand
	unreachable string // name of the member that is unreachable, or empty
}

func (c *faultInjector) injectFault() {
	switch c.random.IntN(7) {
	case 0:
		if len(c.proxies) > 1 {
			c.disconnect(c.proxies[c.random.IntN(len(c.proxies))])
		}
	case 1:
		c.restart()
	case 2:
		c.log.elect([]lab.InstanceID{"control-1", "control-2"}[c.random.IntN(2)], c.clock.Now())
	case 3:
		if m := "m-" + []string{"hanko", "kotka", "oulu"}[c.random.IntN(3)]; c.unreachable == "" {
			c.unreachable = m
			c.prober.stop(database + "/" + m)
		}
	case 4:
		c.restore()
	case 5, 6:
		c.proxies[c.random.IntN(len(c.proxies))].Draining = true
	}
	c.reportPrimary()
}

// restart starts the proxy that was disconnected first, with a new incarnation at its old address.
func (c *faultInjector) restart() {
	if len(c.disconnected) > 0 {
		h := c.disconnected[0]
		c.disconnected = c.disconnected[1:]
		h.Instance.Incarnation++
		h.RequestID, h.Grants, h.AppliedIndex, h.Draining = 0, nil, 0, false
		c.proxies = append(c.proxies, h)
	}
}

// restore makes the unreachable member reachable in the current term. The member is writable if it is still the
// primary; else it has been rewound and is a replica.
func (c *faultInjector) restore() {
	if c.unreachable == "" {
		return
	}
	g := c.database()
	at := lab.WALPosition{Term: max(1, g.CurrentTerm()), Offset: 100}
	c.prober.set(database+"/"+c.unreachable, lab.MemberStatus{
		InRecovery: g.Primary != c.unreachable, Received: at, Replayed: at,
	})
	c.unreachable = ""
}

// reportPrimary makes every proxy report the status of the primary with its next heartbeat.
func (c *faultInjector) reportPrimary() {
	for _, h := range c.proxies {
		s := lab.MemberStatus{Database: database, Member: c.database().Primary, Reachable: true}
		if s.Member != "" && s.Member == c.unreachable {
			s.Reachable, s.UnreachableFor = false, time.Second
		}
		h.Statuses = []lab.MemberStatus{s}
	}
}

// Guards against two proxies that may write, or that hold the same gateway role, at the same time, and against writes
// that never recover. Proxies, members and leaders fail and return in random order.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := &faultInjector{environment: newEnvironment(t), random: rand.New(rand.NewPCG(seed, 0))}
			c.run(7 * time.Second)
			for range 25 {
				c.injectFault()
				c.run(time.Duration(1+c.random.IntN(20)) * 100 * time.Millisecond)
			}
			c.restore()
			for _, h := range c.proxies {
				if h.Draining {
					c.disconnect(h)
				}
			}
			for len(c.disconnected) > 0 {
				c.restart()
			}
			c.reportPrimary()
			took := c.runUntil(40*time.Second, c.writable)
			t.Logf("term %d; writes possible %v after the last fault", c.database().CurrentTerm(), took)
			assert.Assert(t, c.writable())
		})
	}
}
