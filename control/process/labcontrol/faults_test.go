package labcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// chaos injects faults into an environment, in an order that follows from a seed.
type chaos struct {
	*environment
	random      *rand.Rand
	unreachable string // name of the member that is unreachable, or empty
}

func (d *chaos) injectFault() {
	switch d.random.IntN(7) {
	case 0:
		if len(d.proxies) > 1 {
			d.disconnect(d.proxies[d.random.IntN(len(d.proxies))])
		}
	case 1:
		d.restart()
	case 2:
		d.log.elect([]lab.InstanceID{"control-1", "control-2"}[d.random.IntN(2)], d.clock.Now())
	case 3:
		if m := "m-" + []string{"hanko", "kotka", "oulu"}[d.random.IntN(3)]; d.unreachable == "" {
			d.unreachable = m
			d.prober.stop(database + "/" + m)
		}
	case 4:
		d.restore()
	case 5, 6:
		d.proxies[d.random.IntN(len(d.proxies))].Draining = true
	}
	d.reportPrimary()
}

// restart starts the proxy that was disconnected first, with a new incarnation at its old address.
func (d *chaos) restart() {
	if len(d.disconnected) > 0 {
		h := d.disconnected[0]
		d.disconnected = d.disconnected[1:]
		h.Instance.Incarnation++
		h.RequestID, h.Grants, h.AppliedIndex, h.Draining = 0, nil, 0, false
		d.proxies = append(d.proxies, h)
	}
}

// restore makes the unreachable member reachable in the current term. The member is writable if it is still the
// primary; else it has been rewound and is a replica.
func (d *chaos) restore() {
	if d.unreachable == "" {
		return
	}
	g := d.database()
	at := lab.WALPosition{Term: max(1, g.CurrentTerm()), Offset: 100}
	d.prober.set(database+"/"+d.unreachable, lab.MemberStatus{
		InRecovery: g.Primary != d.unreachable, Received: at, Replayed: at,
	})
	d.unreachable = ""
}

// reportPrimary makes every proxy report the status of the primary with its next heartbeat.
func (d *chaos) reportPrimary() {
	for _, h := range d.proxies {
		s := lab.MemberStatus{Database: database, Member: d.database().Primary, Reachable: true}
		if s.Member != "" && s.Member == d.unreachable {
			s.Reachable, s.UnreachableFor = false, time.Second
		}
		h.Statuses = []lab.MemberStatus{s}
	}
}

// Guards against two proxies that may write, or that hold the same gateway role, at the same time, and against writes
// that never recover. Proxies, members and leaders fail and return in random order.
func TestDisorder(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := &chaos{environment: newEnvironment(t), random: rand.New(rand.NewPCG(seed, 0))}
			d.run(7 * time.Second)
			for range 25 {
				d.injectFault()
				d.run(time.Duration(1+d.random.IntN(20)) * 100 * time.Millisecond)
			}
			d.restore()
			for _, h := range d.proxies {
				if h.Draining {
					d.disconnect(h)
				}
			}
			for len(d.disconnected) > 0 {
				d.restart()
			}
			d.reportPrimary()
			took := d.runUntil(40*time.Second, d.writable)
			t.Logf("term %d; writes possible %v after the last fault", d.database().CurrentTerm(), took)
			assert.Assert(t, d.writable())
		})
	}
}
