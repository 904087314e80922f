package labplatformcontrol

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labjournal"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/version/labgroupstate"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labrandom"
)

// Size of the deployment of the benchmarks.
const (
	scaleServices  = 1000
	scaleMembers   = 3 * scaleServices
	scaleProxies   = 300
	scaleObservers = 12 // observers of each primary
)

// scaleMember returns an announcement of member n. The first member of each service is its primary.
func scaleMember(n int, sequence uint64) lab.Announcement {
	return lab.Announcement{
		Database: fmt.Sprintf("service-%04d", n/3), Member: fmt.Sprintf("service-%04d-%d", n/3, n%3),
		Address: fmt.Sprintf("10.%d.%d.%d:5432", n%3, n/250, n%250+1), Region: "north", AvailabilityZone: fmt.Sprintf("north-%d", n%3),
		Incarnation: 1_000_000, Sequence: sequence, Slots: 6, Connections: 93, Primary: n%3 == 0,
	}
}

// newScale returns the leader's parts with all members, holders and reports of the proxies. There is no network.
func newScale(tb testing.TB) *Controller {
	tb.Helper()

	boot := labclock.NewBootClock()
	c := &steppedClock{now: boot.Now() + time.Hour}
	k := &Controller{Clock: c, Log: zerolog.Nop(), changed: make(chan struct{})}
	k.registry, k.memberLogs.Clock, k.proxies.clock = &labmembers.Registry{Clock: c}, c, c
	state := &labgroupstate.State{}
	group := &labconsensus.Group{
		ID: "a", InitialVoters: []lab.InstanceID{"a"}, Journal: &labjournal.Journal{Folder: tb.TempDir()}, Clock: boot,
		Random: labrandom.NewSeeded(1), StateMachine: state, Send: func(lab.InstanceID, labreplica.Message) {},
		ElectionMin: time.Second, ElectionMax: 2 * time.Second, StartupElectionMin: time.Millisecond, Heartbeat: heartbeat,
	}
	k.currentParticipation.Store(&participation{state: state, group: group, identity: &identity{id: "a"}})

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)

	go func() { ended <- group.Run(ctx) }()

	tb.Cleanup(func() {
		cancel()
		<-ended
	})

	for !group.Leadership().IsLeader {
		time.Sleep(time.Millisecond)
	}

	var holders labgroupstate.HoldersChange

	for n := range scaleMembers {
		a := scaleMember(n, 1)
		k.registry.Apply(a, 0)

		holders.Set = append(holders.Set, labgroupstate.Holder{
			Service: a.Database, Member: a.Member, Address: a.Address, Region: a.Region, Primary: a.Primary,
		})
	}

	b, err := labgroupstate.Command{Holders: &holders}.Encode()
	assert.NilError(tb, err)

	_, err = group.Propose(ctx, b)
	assert.NilError(tb, err)

	for p := range scaleProxies {
		k.proxies.record(scaleWatch(p))
	}

	return k
}

// scaleWatch returns the watch of proxy p, which observes its part of the primaries.
func scaleWatch(p int) lab.WatchRequest {
	r := lab.WatchRequest{Proxy: proxy(fmt.Sprintf("proxy-%03d", p))}

	for n := p; n < scaleServices*scaleObservers; n += scaleProxies {
		a := scaleMember(n%scaleServices*3, 1)
		r.Primaries = append(r.Primaries, lab.PrimaryReport{Service: a.Database, Member: a.Member, Observer: true})
	}

	return r
}

// BenchmarkReconcileQuiet is one round of the leader over services that need nothing.
func BenchmarkReconcileQuiet(b *testing.B) {
	k := newScale(b)

	for b.Loop() {
		for _, s := range k.heldServices() {
			if k.mayNeedReplacement(s) {
				b.Fatal("a service needs a replacement")
			}
		}
	}

	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*scaleServices), "ns/service")
}

// BenchmarkWatchCheck is the check whether a proxy that knows everything must be answered, once for each wake-up.
func BenchmarkWatchCheck(b *testing.B) {
	k := newScale(b)
	v := leaderView{k}
	r := lab.WatchRequest{LeaderEpoch: v.leaderEpoch(), MembersRevision: v.membersRevision(), ProxiesRevision: v.proxiesRevision()}

	for b.Loop() {
		if hasChanges(v, r) {
			b.Fatal("a change without reason")
		}
	}
}

// BenchmarkWatchAnswer is the answer to a watch when nothing changed.
func BenchmarkWatchAnswer(b *testing.B) {
	k := newScale(b)
	v := leaderView{k}
	r := lab.WatchRequest{LeaderEpoch: v.leaderEpoch(), MembersRevision: v.membersRevision(), ProxiesRevision: v.proxiesRevision()}

	for b.Loop() {
		a, err := v.response(r)
		assert.NilError(b, err)
		assert.Equal(b, len(a.Members), 0)

		a.Positions, a.Leaving = k.positions.Newest(0), k.registry.Leaving()
	}
}

// BenchmarkAnnouncementUnchanged is an announcement that differs in the sequence only.
func BenchmarkAnnouncementUnchanged(b *testing.B) {
	k := newScale(b)

	all := make([]lab.Announcement, scaleMembers)
	for n := range all {
		all[n] = scaleMember(n, 1)
	}

	for n := 0; b.Loop(); n++ {
		a := &all[n%scaleMembers]
		a.Sequence++

		if newer, changed := k.registry.Apply(*a, 0); !newer || changed {
			b.Fatal("the announcement is not taken as unchanged")
		}
	}
}

// BenchmarkAnnouncementForwarded is the leader's part of an announcement without news that another instance forwards.
func BenchmarkAnnouncementForwarded(b *testing.B) {
	k := newScale(b)
	a := scaleMember(0, 1)

	for b.Loop() {
		a.Sequence++
		assert.NilError(b, k.receiveAnnouncement(a))
	}
}

// BenchmarkBroadcast is the message to the other control instances.
func BenchmarkBroadcast(b *testing.B) {
	k := newScale(b)
	size := 0

	for b.Loop() {
		r, _, err := k.buildBroadcast(true, 0)
		assert.NilError(b, err)

		m, err := msgpack.Marshal(r)
		assert.NilError(b, err)

		size = len(m)
	}

	b.ReportMetric(float64(size), "B/message")
}

// BenchmarkWatchRecord is what the leader does with the reports of a proxy that observes its part of the primaries.
func BenchmarkWatchRecord(b *testing.B) {
	k := newScale(b)

	all := make([]lab.WatchRequest, scaleProxies)
	for p := range all {
		all[p] = scaleWatch(p)
	}

	for n := 0; b.Loop(); n++ {
		k.proxies.record(all[n%scaleProxies])
	}
}

// BenchmarkMemberChange is a change of one member, with the answers to all proxies.
func BenchmarkMemberChange(b *testing.B) {
	k := newScale(b)
	v := leaderView{k}
	size := 0

	for n := 0; b.Loop(); n++ {
		r := lab.WatchRequest{LeaderEpoch: v.leaderEpoch(), MembersRevision: v.membersRevision(), AcceptsChanges: true}
		a := scaleMember(7, uint64(n+2))
		a.Draining = n%2 == 0
		k.registry.Apply(a, 0)
		k.Clock.(*steppedClock).now += time.Second

		for range scaleProxies {
			assert.Assert(b, hasChanges(v, r))

			x, err := v.response(r)
			assert.NilError(b, err)

			size = len(x.Members) + len(x.MemberChanges)
		}
	}

	b.ReportMetric(float64(size), "B/proxy")
}

// BenchmarkReconcileMembers is what the leader does with the list of members in one round if nothing has changed.
func BenchmarkReconcileMembers(b *testing.B) {
	k := newScale(b)

	for b.Loop() {
		k.publishMembers()
	}
}

// BenchmarkHolders is the comparison of all members with the recorded holders, once a second and after each change.
func BenchmarkHolders(b *testing.B) {
	k := newScale(b)

	for b.Loop() {
		if c := k.holdersChange(); len(c.Set)+len(c.Removed)+len(k.dueHolders()) > 0 {
			b.Fatal("a change without reason")
		}
	}
}

// BenchmarkPermissionsList is the comparison of the list of commit permissions with all services, after each change.
func BenchmarkPermissionsList(b *testing.B) {
	k := newScale(b)

	for b.Loop() {
		if open, _ := k.openServices(nil); len(open) != scaleServices {
			b.Fatal("a closed service")
		}
	}
}

// BenchmarkPermissionWithdrawn is the withdrawal of one permission, with the encoded grants for all proxies.
func BenchmarkPermissionWithdrawn(b *testing.B) {
	for name, accepts := range map[string]bool{"list": false, "changes": true} {
		b.Run(name, func(b *testing.B) {
			k := newScale(b)
			k.permissions.begin(k.participation().group.Leadership())

			size := 0

			for b.Loop() {
				k.openService("service-0007", true)

				r := lab.WatchRequest{Proxy: proxy("p"), AcceptsChanges: accepts}
				r.Permissions.Applied = k.permissionsRevision()
				k.closeService("service-0007")

				for range scaleProxies {
					m, err := msgpack.Marshal(k.grantPermissions(r, 0, 0))
					assert.NilError(b, err)

					size = len(m)
				}
			}

			b.ReportMetric(float64(size), "B/proxy")
		})
	}
}

// scalePositions returns reports on n primaries from the given one on.
func scalePositions(from, n int, at time.Duration) []lab.PositionReport {
	out := make([]lab.PositionReport, n)
	for i := range out {
		service := (from + i) % scaleServices
		out[i] = lab.PositionReport{
			Service: fmt.Sprintf("service-%04d", service), Position: lab.CommitPosition{Term: 1, Number: uint64(at)},
			RequestedAt: at - time.Duration(service)*123_457,
		}
	}

	return out
}

// BenchmarkLeaderSecond is what the leader does in a second in which nothing changes, without the network: announcements,
// rounds, the watches of the 50 proxies of its zone and of five other instances, and broadcasts.
func BenchmarkLeaderSecond(b *testing.B) {
	const (
		ownProxies = scaleProxies / 6
		relays     = 5
	)

	k := newScale(b)
	clock := k.Clock.(*steppedClock)
	k.relay = newRelay(k)
	k.permissions.begin(k.participation().group.Leadership())

	answer := func(r lab.WatchRequest) {
		r.Permissions.Applied, r.AcceptsChanges, r.ClockEpoch = k.permissionsRevision(), true, k.epochBase
		k.recordWatch(r, clock.now)

		v := leaderView{k}
		r.LeaderEpoch, r.MembersRevision, r.ProxiesRevision = v.leaderEpoch(), v.membersRevision(), max(v.proxiesRevision(), 1)

		a, err := v.response(r)
		assert.NilError(b, err)

		a.SentAt, a.Leaving = clock.now, k.registry.Leaving()
		assert.NilError(b, k.addPositions(r, &a))

		a.Permissions = v.grantPermissions(r, clock.now, clock.now)

		_, err = msgpack.Marshal(a)
		assert.NilError(b, err)
	}
	requests := make([]lab.WatchRequest, scaleProxies)

	for p := range requests {
		requests[p] = scaleWatch(p)
	}

	sequence := uint64(1)

	for b.Loop() {
		sequence++

		for n := range scaleMembers * 10 / 12 {
			assert.NilError(b, k.receiveAnnouncement(scaleMember(n, sequence)))
		}

		for round := range 10 {
			clock.now += reconcileInterval
			k.removeSilent()
			k.publishMembers()

			for _, s := range k.heldServices() {
				if k.mayNeedReplacement(s) {
					b.Fatal("a service needs a replacement")
				}
			}

			for p := range ownProxies / 5 {
				r := requests[(round*ownProxies/5+p)%ownProxies]
				r.Positions = scalePositions(p*40, 40, clock.now)
				answer(r)
			}

			if round%5 < relays {
				r := lab.WatchRequest{Relay: true, Positions: scalePositions(0, scaleServices, clock.now)}
				for p := range ownProxies {
					q := requests[ownProxies+round%relays*ownProxies+p]
					r.Relayed = append(r.Relayed, lab.RelayedProxy{Proxy: q.Proxy, Primaries: q.Primaries})
				}

				answer(r)
			}
		}

		k.holdersChange()
		k.dueHolders()
		k.proxies.removeSilent()

		r, _, err := k.buildBroadcast(true, 0)
		assert.NilError(b, err)

		_, err = msgpack.Marshal(r)
		assert.NilError(b, err)
	}
}

// BenchmarkLeaderMemory is the heap of the leader's parts.
func BenchmarkLeaderMemory(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&m)

		return m.HeapAlloc
	}

	for b.Loop() {
		before := heap()
		k := newScale(b)
		k.publishMembers()

		_, err := k.memberLists.list.Since(0, true)
		assert.NilError(b, err)
		k.positions.Record(scalePositions(0, scaleServices, k.Clock.Now()), k.Clock.Now())
		k.heldServices()
		b.ReportMetric(float64(heap()-before)/1e6, "MB")
		runtime.KeepAlive(k)
	}
}
