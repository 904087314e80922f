package labplatformcontrol

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

const testSlack = time.Second // how late a withdrawal may return on a busy machine

// permittedProxy watches an instance as a proxy does and keeps what it is granted.
type permittedProxy struct {
	c  *cluster
	at int

	mutex     sync.Mutex
	request   lab.WatchRequest
	list      []lab.CommitPermission
	end       time.Duration
	confirms  bool // the proxy confirms lists
	unheard   bool // the proxy's requests are not answered
	cancelled context.CancelFunc
}

func (c *cluster) newPermittedProxy(id string, at int) *permittedProxy {
	p := &permittedProxy{c: c, at: at, confirms: true}
	p.request.Proxy, p.request.MaxWait = proxy(id), 300*time.Millisecond

	ctx, cancel := context.WithCancel(context.Background())
	p.cancelled = cancel

	c.t.Cleanup(cancel)

	go func() {
		for ctx.Err() == nil {
			p.watch()
			time.Sleep(5 * time.Millisecond)
		}
	}()

	return p
}

// watch sends one watch and applies the response.
func (p *permittedProxy) watch() {
	p.mutex.Lock()
	r, at, unheard := p.request, p.at, p.unheard
	p.mutex.Unlock()

	if unheard {
		return
	}

	sentAt := p.c.controllers[at].Clock.Now()
	a, err := p.c.watch(at, r)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if err != nil || a.Leader != "" {
		return
	}

	p.request.LeaderEpoch, p.request.MembersRevision = a.LeaderEpoch, a.MembersRevision
	if a.ProxiesRevision > 0 {
		p.request.ProxiesRevision = a.ProxiesRevision
	}

	g, report := a.Permissions, &p.request.Permissions

	switch {
	case g.Revision.IsZero() || g.Revision.Before(report.Applied):
		return
	case g.Revision == report.Applied:
		p.end = max(p.end, sentAt+g.ValidFor)
	default:
		p.list, p.end, report.Applied = g.Permissions, sentAt+g.ValidFor, g.Revision
	}

	if p.confirms {
		report.Confirmed = report.Applied
	}
}

func (p *permittedProxy) may(service, member string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return slices.Contains(p.list, lab.CommitPermission{Service: service, Member: member})
}

// setConfirms sets whether the proxy confirms lists. If so, it confirms the one that it has at once.
func (p *permittedProxy) setConfirms(confirms bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.confirms = confirms; confirms {
		p.request.Permissions.Confirmed = p.request.Permissions.Applied
	}
}

// silence ends the proxy's watches, after one that may be under way, and returns the end of its grant.
func (p *permittedProxy) silence() time.Duration {
	p.mutex.Lock()
	p.unheard = true
	p.mutex.Unlock()

	time.Sleep(400 * time.Millisecond)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.end
}

func (p *permittedProxy) resume() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.unheard = false
}

// withdrawal withdraws the permission of a service in the background. Like a replacement, it is tried again if the leader has
// changed, which happens on a busy machine.
type withdrawal struct {
	c    *cluster
	done chan error
	term uint64      // term in which it began
	k    *Controller // leader at which it returned
	at   time.Duration
}

// withdraw withdraws the permission of a service, for which no replacement starts or ends meanwhile.
func (c *cluster) withdraw(service string) *withdrawal {
	c.t.Helper()
	c.setReplacing(service, true)

	w := &withdrawal{c: c, done: make(chan error, 1), term: c.controllers[c.leaderIndex()].participation().group.Leadership().Term}

	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()

		err := lab.ErrNotLeader
		for ; errors.Is(err, lab.ErrNotLeader) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			i := slices.IndexFunc(c.controllers, (*Controller).Leading)
			if i < 0 {
				continue
			}

			w.k = c.controllers[i]
			err = commitPermissions{w.k}.Withdraw(ctx, service)
			w.at = w.k.Clock.Now()
		}

		w.done <- err
	}()

	return w
}

func (c *cluster) setReplacing(service string, replacing bool) {
	for _, k := range c.controllers {
		k.mutex.Lock()
		k.replacing[service] = replacing
		k.mutex.Unlock()
	}
}

// reopen ends a withdrawal as the end of a replacement does.
func (c *cluster) reopen(service string) {
	for _, k := range c.controllers {
		k.endWithdrawal(context.Background(), service)
	}

	c.setReplacing(service, false)
}

// order records an order for a member and returns its token.
func (c *cluster) order(service, member string) (token uint64) {
	c.t.Helper()
	c.eventually("order recorded", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		k := c.controllers[c.leaderIndex()]
		o, _ := k.participation().state.Promotion(service)
		a := lab.Announcement{Member: member, Address: "127.0.0.1:" + member[1:]}

		var err error

		token, err = (&orderLog{controller: k, token: o.Token}).Order(ctx, service, a, "", lab.CommitPosition{})

		return err == nil
	})

	return token
}

func (c *cluster) confirm(service string, token uint64) {
	c.t.Helper()
	c.eventually("order confirmed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		return (&orderLog{controller: c.controllers[c.leaderIndex()]}).Confirm(ctx, service, token, true) == nil
	})
}

func (w *withdrawal) assertWaits(d time.Duration) {
	w.c.t.Helper()

	select {
	case err := <-w.done:
		w.c.t.Fatalf("withdrawal returned too early: %v", err)
	case <-time.After(d):
	}
}

// assertReturns checks that the withdrawal returns in time. After a change of the leader, it may take longer.
func (w *withdrawal) assertReturns(within time.Duration) {
	w.c.t.Helper()

	select {
	case err := <-w.done:
		assert.NilError(w.c.t, err)

		return
	case <-time.After(within):
	}

	if w.c.controllers[w.c.leaderIndex()].participation().group.Leadership().Term == w.term {
		w.c.t.Fatal("withdrawal didn't return in time")
	}

	assert.NilError(w.c.t, <-w.done)
}

// assertReturnsAfter checks that the withdrawal returns once a grant has ended, and not before.
func (w *withdrawal) assertReturnsAfter(end time.Duration) {
	w.c.t.Helper()
	w.assertReturns(end + grantMargin + testSlack - w.c.controllers[0].Clock.Now())
	assert.Assert(w.c.t, w.at >= end, "returned %s before the end of the grant", end-w.at)
}

// announcePrimary announces a member to all instances, since each may become the leader.
func (c *cluster) announcePrimary(service, member string) {
	c.t.Helper()

	for _, k := range c.controllers {
		c.eventually("announcement accepted", func() bool {
			return k.Announce(context.Background(), lab.Announcement{
				Database: service, Member: member, Address: "127.0.0.1:" + member[1:], Incarnation: 1, Sequence: 1, Primary: true,
			}) == nil
		})
	}
}

// formerGrantsEnd returns the time until which receivers may hold grants of leaders before the present one.
func (c *cluster) formerGrantsEnd() time.Duration {
	c.t.Helper()

	return c.controllers[c.leaderIndex()].participation().group.Leadership().Since + electionMin + grantDuration
}

// TestCommitPermissions checks that a withdrawal returns only when no proxy holds the permission any more, whichever instance
// the proxy watches.
func TestCommitPermissions(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	leader := c.leaderIndex()
	follower := (leader + 1) % 3

	c.announcePrimary("s", "m1")
	c.announcePrimary("t", "m2")

	direct, relayed := c.newPermittedProxy("direct", leader), c.newPermittedProxy("relayed", follower)
	both := func(what string, check func(*permittedProxy) bool) {
		t.Helper()
		c.eventually(what, func() bool { return check(direct) && check(relayed) })
	}
	open := func(p *permittedProxy) bool { return p.may("s", "m1") && p.may("t", "m2") }
	closed := func(p *permittedProxy) bool { return !p.may("s", "m1") && p.may("t", "m2") }

	both("the first list", open)

	var k *Controller // leader that has withdrawn the permission of t

	t.Run("a new leader waits for the grants of a former one", func(t *testing.T) {
		w := c.withdraw("s")
		both("the list without the service", closed)
		w.assertReturnsAfter(c.formerGrantsEnd())
		c.reopen("s")
		both("the service open again", open)
	})

	t.Run("both confirm", func(t *testing.T) {
		direct.setConfirms(false)
		relayed.setConfirms(false)

		w := c.withdraw("s")
		both("the list without the service", closed)
		w.assertWaits(200 * time.Millisecond)
		direct.setConfirms(true)
		w.assertWaits(600 * time.Millisecond)
		relayed.setConfirms(true)
		w.assertReturns(testSlack)
		both("still closed", closed)
		c.reopen("s")
		both("the service open again", open)
	})

	t.Run("a proxy at the leader is silent", func(t *testing.T) {
		end := direct.silence()
		c.withdraw("s").assertReturnsAfter(end)
		c.reopen("s")
		direct.resume()
		both("the service open again", open)
	})

	t.Run("a proxy at another instance is silent", func(t *testing.T) {
		end := relayed.silence()
		c.withdraw("s").assertReturnsAfter(end)
		c.reopen("s")
		relayed.resume()
		both("the service open again", open)
	})

	t.Run("without an unconfirmed order a withdrawal that was left over ends", func(t *testing.T) {
		w := c.withdraw("s")
		w.assertReturns(testSlack)
		both("closed", closed)
		c.setReplacing("s", false)
		both("the service open again", open)
	})

	t.Run("orders", func(t *testing.T) {
		c.announcePrimary("s", "m3")

		w := c.withdraw("s")
		w.assertReturns(testSlack)

		c.confirm("s", c.order("s", "m3"))
		both("the new member before the replacement has ended", func(p *permittedProxy) bool { return p.may("s", "m3") && !p.may("s", "m1") })

		c.withdraw("s").assertReturns(testSlack)

		token := c.order("s", "m1")
		superseded := (&orderLog{controller: c.controllers[c.leaderIndex()]}).Confirm(t.Context(), "s", token-1, true)
		assert.ErrorIs(t, superseded, labgroupstate.ErrSuperseded)

		c.reopen("s")
		c.setReplacing("s", true)
		assert.Assert(t, !slices.ContainsFunc(c.controllers, func(k *Controller) bool { return k.withdrawn("s") }))
		time.Sleep(200 * time.Millisecond)
		both("an unconfirmed order closes the service", func(p *permittedProxy) bool { return !p.may("s", "m3") && closed(p) })

		// The service was closed before the order was recorded, so a proxy that doesn't confirm a later list can't commit there.
		direct.setConfirms(false)
		c.announcePrimary("u", "m4")
		both("a later list", func(p *permittedProxy) bool { return p.may("u", "m4") })
		c.withdraw("s").assertReturns(testSlack)
		direct.setConfirms(true)

		c.confirm("s", token)
		both("the service open again", open)
		c.setReplacing("s", false)
	})

	t.Run("the instance of a proxy doesn't answer", func(t *testing.T) {
		end := relayed.silence()
		c.stop(follower)

		w := c.withdraw("t")
		w.assertReturnsAfter(end)
		k = w.k
	})

	t.Run("an order may still be recorded", func(t *testing.T) {
		for i := range 3 {
			if c.controllers[i] != k {
				c.stop(i)
			}
		}

		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()

		o := &orderLog{controller: k}
		_, err := o.Order(ctx, "t", lab.Announcement{Member: "m2", Address: "127.0.0.1:2"}, "m2", lab.CommitPosition{})
		assert.Assert(t, err != nil)

		k.endWithdrawal(t.Context(), "t")

		k.permissions.mutex.Lock()
		defer k.permissions.mutex.Unlock()

		assert.Assert(t, k.permissions.withdrawn["t"], "a later entry would have been applied only after the order")
	})

	t.Run("an instance that doesn't lead", func(t *testing.T) {
		k := c.controllers[follower]
		assert.Assert(t, commitPermissions{k}.Withdraw(t.Context(), "t") != nil)
		assert.Assert(t, k.permissionsRevision().IsZero())
	})
}

// TestCommitPermissionsOfNewLeader checks that an unconfirmed order closes a service also after a change of the leader, and that
// the new leader waits for the grants of the former one.
func TestCommitPermissionsOfNewLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	former := c.leaderIndex()

	c.announcePrimary("s", "m1")
	c.announcePrimary("t", "m2")

	p := c.newPermittedProxy("p", former)
	c.eventually("the first list", func() bool { return p.may("s", "m1") && p.may("t", "m2") })

	w := c.withdraw("s")
	w.assertReturnsAfter(c.formerGrantsEnd())

	c.order("s", "m1")

	end := p.silence()

	former = c.leaderIndex()
	k := c.controllers[former]

	c.stop(former)

	leader := -1

	c.eventually("a new leader", func() bool {
		leader = slices.IndexFunc(c.controllers, func(o *Controller) bool { return o != k && o.Leading() })

		return leader >= 0
	})

	q := c.newPermittedProxy("q", leader)
	c.eventually("the list of the new leader", func() bool { return q.may("t", "m2") })
	assert.Assert(t, !q.may("s", "m1"), "the order is unconfirmed")

	c.withdraw("s").assertReturns(testSlack) // closed before the order

	w = c.withdraw("t")
	w.assertReturnsAfter(max(end, c.formerGrantsEnd()))
	assert.Assert(t, !q.may("s", "m1"), "the order is unconfirmed")
}

// TestOpenServices checks when a service is open in the leader's list.
func TestOpenServices(t *testing.T) {
	assertOpen := func(t *testing.T, k *knowledge, withdrawn map[string]bool, want ...string) {
		t.Helper()

		var got []string

		open, closed := k.openServices(withdrawn)
		for _, p := range open {
			got = append(got, p.Service+" "+p.Member)
		}

		assert.DeepEqual(t, append(got, closed...), want)
	}

	start := func(t *testing.T) *knowledge {
		t.Helper()

		k := newKnowledge(t)
		k.announce("a", "h:1", 1, true)
		k.announce("b", "h:2", 1, false)

		return k
	}

	t.Run("the first primary", func(t *testing.T) { assertOpen(t, start(t), nil, "s a") })
	t.Run("withdrawn", func(t *testing.T) { assertOpen(t, start(t), map[string]bool{"s": true}, "s") })

	t.Run("no primary", func(t *testing.T) {
		k := newKnowledge(t)
		k.announce("b", "h:2", 1, false)
		assertOpen(t, k, nil, "s")
	})

	t.Run("an unconfirmed order", func(t *testing.T) {
		k := start(t)
		k.order("b", "h:2", "a", false)
		assertOpen(t, k, nil, "s")
	})

	t.Run("a confirmed order", func(t *testing.T) {
		k := start(t)
		k.order("b", "h:2", "a", true)
		assertOpen(t, k, nil, "s b")
		k.order("a", "h:1", "b", false)
		assertOpen(t, k, nil, "s")
	})
}

// TestOrderLogOpen checks which members the order log names as those that an order can still make the primary.
func TestOrderLogOpen(t *testing.T) {
	k := newKnowledge(t)
	o := &orderLog{controller: k.Controller}
	assert.Equal(t, len(o.Open("s")), 0)

	k.order("b", "h:2", "a", false)
	k.order("c", "h:3", "a", false)
	k.order("b", "h:2", "a", false)
	assert.DeepEqual(t, o.Open("s"), []string{"b", "c"})
	assert.Equal(t, len(o.Open("t")), 0)

	k.apply(labgroupstate.Command{OrderRefused: &labgroupstate.OrderRefused{Service: "s", Token: 2}})
	assert.DeepEqual(t, o.Open("s"), []string{"b"})

	k.apply(labgroupstate.Command{OrderConfirmed: &labgroupstate.OrderConfirmed{Service: "s", Token: 3, Answered: true}})
	assert.Equal(t, len(o.Open("s")), 0)
}

// fixedView is a view whose only change can be that of the list of permissions.
type fixedView struct {
	view

	permissions lab.PermissionRevision
}

func (fixedView) leaderEpoch() uint64                           { return 1 }
func (fixedView) membersRevision() uint64                       { return 1 }
func (fixedView) documentVersion() uint64                       { return 1 }
func (fixedView) proxiesRevision() uint64                       { return 1 }
func (v fixedView) permissionsRevision() lab.PermissionRevision { return v.permissions }

// TestPermissionsChanged checks that a list without a service isn't delayed, and that others don't keep senders busy.
func TestPermissionsChanged(t *testing.T) {
	v := fixedView{permissions: lab.PermissionRevision{Term: 2, Number: 5}}
	r := lab.WatchRequest{LeaderEpoch: 1, MembersRevision: 1, ProxiesRevision: 1, ConfigurationVersion: 1}

	for _, c := range []struct {
		applied lab.PermissionRevision
		want    bool
	}{
		{lab.PermissionRevision{Term: 2, Number: 4}, true},
		{lab.PermissionRevision{Term: 1, Number: 9}, true},
		{lab.PermissionRevision{Term: 2, Number: 5}, false},
		{lab.PermissionRevision{Term: 3, Number: 1}, false},
		{lab.PermissionRevision{}, false},
	} {
		r.Permissions.Applied = c.applied
		assert.Equal(t, hasChanges(v, r), c.want, "%v", c.applied)
	}
}
