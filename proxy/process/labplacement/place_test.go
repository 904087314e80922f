package labplacement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// proxies returns perZone proxies for each zone. The regions of the zones alternate between west and east.
func proxies(zones, perZone int) []lab.Instance {
	var out []lab.Instance

	for z := range zones {
		for n := range perZone {
			out = append(out, lab.Instance{
				ID: lab.InstanceID(fmt.Sprintf("proxy-%d-%d", z, n)), AvailabilityZone: fmt.Sprintf("zone-%d", z),
				Region: []string{"west", "east"}[z%2],
			})
		}
	}

	return out
}

func westernMember(name string) lab.Announcement {
	return lab.Announcement{Member: name, Region: "west"}
}

func countInRegion(region string, all []lab.Instance) int {
	n := 0

	for _, i := range all {
		if i.Region == region {
			n++
		}
	}

	return n
}

func TestPlace(t *testing.T) {
	for _, c := range []struct {
		name                  string
		connections           int
		zones, perZone        int
		directProxies         int
		inMemberRegion        int // number of direct proxies in the member's region
		maxPerProxy, retained int
	}{
		{"first proxy", 24, 1, 1, 1, 1, 22, 11},
		{"connections for all", 24, 3, 3, 9, 6, 2, 1},
		{"one each", 24, 3, 7, 21, 14, 1, 1},
		{"fewer connections than proxies", 45, 6, 13, 43, 39, 1, 1},
		{"fewer than proxies of the region", 22, 6, 13, 20, 20, 1, 1},
		{"many connections", 216, 6, 13, 78, 39, 2, 1},
		{"few connections", 5, 6, 13, 3, 3, 1, 1},
		{"many proxies", 45, 7, 119, 43, 43, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := proxies(c.zones, c.perZone)
			p := Place(westernMember("m"), c.connections, all)
			assert.Equal(t, len(p.DirectProxies()), c.directProxies)
			assert.Equal(t, countInRegion("west", p.DirectProxies()), c.inMemberRegion)
			assert.Equal(t, p.MaxPerProxy, c.maxPerProxy)
			assert.Equal(t, p.RetainedPerProxy, c.retained)
			assert.Assert(t, p.MaxPerProxy == 1 || 2*c.directProxies*p.RetainedPerProxy <= c.connections-reservedConnections, "no room for new connections after a power loss")
			assert.Assert(t, len(p.DirectProxies())*p.MaxPerProxy <= c.connections-reservedConnections)

			slices.Reverse(all)
			assert.Equal(t, len(Place(westernMember("m"), c.connections, all).DirectProxies()), c.directProxies)
		})
	}
}

// TestMoves checks that only one connection moves to another proxy when a proxy is lost, and that the connections to
// several members are spread over the proxies.
func TestMoves(t *testing.T) {
	all := proxies(6, 13)
	before := Place(westernMember("m"), 22, all)
	lost := before.DirectProxies()[0].ID

	left := slices.DeleteFunc(slices.Clone(all), func(i lab.Instance) bool { return i.ID == lost })
	after := Place(westernMember("m"), 22, left)

	moved := 0

	for _, p := range after.DirectProxies() {
		if !slices.Contains(before.DirectProxies(), p) {
			moved++
		}
	}

	assert.Equal(t, moved, 1)

	memberCounts := map[lab.InstanceID]int{}

	for n := range 8 {
		for _, p := range Place(westernMember(fmt.Sprintf("member-%d", n)), 22, all).DirectProxies() {
			memberCounts[p.ID]++
		}
	}

	for id, n := range memberCounts {
		assert.Assert(t, n <= 7, "%s has connections to %d members", id, n)
	}
}

// TestPlaceGateways guards against a zone with a single gateway, whose loss would stop the clients of the zone.
func TestPlaceGateways(t *testing.T) {
	for _, c := range []struct {
		name                 string
		connections          int
		zones, perZone       int
		gateways, inOneZone  int
		connectionsOfGateway int
	}{
		{"two in each zone", 70, 6, 15, 12, 2, 5},
		{"one proxy in each zone", 70, 6, 1, 6, 1, 11},
		{"second gateways of some zones", 34, 6, 15, 8, 2, 4},
		{"few connections", 3, 6, 15, 1, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := PlaceGateways(westernMember("m"), c.connections, proxies(c.zones, c.perZone))
			inZone, once := map[string]int{}, map[lab.InstanceID]bool{}

			for _, i := range p.DirectProxies() {
				inZone[i.AvailabilityZone]++
				once[i.ID] = true
			}

			assert.Equal(t, len(once), c.gateways, "different proxies")
			assert.Equal(t, len(p.DirectProxies()), c.gateways)
			assert.Equal(t, slices.Max(slices.Collect(maps.Values(inZone))), c.inOneZone)
			assert.Equal(t, p.MaxPerProxy, c.connectionsOfGateway)
		})
	}
}

// TestGateways checks the order of the gateways when all proxies of another region relay their statements to one
// member: no direct proxy may be the first gateway of many proxies.
func TestGateways(t *testing.T) {
	all := proxies(6, 13)
	placement := Place(westernMember("m"), 45, all)
	first := map[lab.InstanceID]int{}
	senders := 0

	for _, i := range all {
		g := NewView(i.ID, all, 8).Gateways(westernMember("m"), placement)
		assert.Assert(t, !slices.Contains(g, i), "a proxy must not be its own gateway")

		if i.Region == "west" {
			continue
		}

		assert.Equal(t, g[0].Region, "west")

		first[g[0].ID]++
		senders++
	}

	assert.Equal(t, senders, 39)

	for id, n := range first {
		assert.Assert(t, n <= 6, "%s is the first gateway of %d proxies", id, n)
	}
}

// observers returns the proxies with direct connections that observe a member.
func observers(member lab.Announcement, direct, all []lab.Instance, services int) []lab.Instance {
	return slices.DeleteFunc(slices.Clone(direct), func(p lab.Instance) bool {
		return !NewView(p.ID, all, services).Observes(member)
	})
}

// TestObserves replays a calm day of a deployment with 300 proxies: with every proxy checking every member, the members
// received 20,000 checks a second, and each proxy spent most of its processor time on them.
func TestObserves(t *testing.T) {
	for _, c := range []struct {
		name           string
		zones, perZone int
		services       int
		want, inZones  int
	}{
		{"one proxy", 1, 1, 8, 1, 1},
		{"few proxies", 3, 3, 8, 6, 3},
		{"hundreds of proxies", 6, 50, 8, 12, 6},
		{"80 proxies and 8 services", 6, 14, 8, 12, 6},
		{"half as many services as proxies", 6, 50, 150, 12, 6},
		{"more services than proxies", 6, 50, 500, 6, 6},
		{"1,000 services", 6, 50, 1000, 4, 4},
		{"far more services than proxies", 6, 2, 1000, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := proxies(c.zones, c.perZone)
			zones := map[string]int{}

			for _, p := range observers(westernMember("m"), all, all, c.services) {
				zones[p.AvailabilityZone]++
			}

			observers := 0
			for _, n := range zones {
				observers += n
			}

			assert.Equal(t, observers, c.want)
			assert.Equal(t, len(zones), c.inZones, "zones with observers")
		})
	}

	assert.Assert(t, !NewView("unknown", proxies(3, 3), 8).Observes(westernMember("m")),
		"a proxy without connections observes nothing")
}

// TestObservesManyServices guards against proxies that spend their processor time on checks where there are more
// services than proxies, and against primaries that no proxy with connections checks.
func TestObservesManyServices(t *testing.T) {
	const services = 1000

	all := proxies(6, 50)
	perProxy := map[lab.InstanceID]int{}
	rules := map[lab.InstanceID]*View{}

	for _, p := range all {
		rules[p.ID] = NewView(p.ID, all, services)
	}

	for n := range services {
		m := westernMember(fmt.Sprintf("member-%d", n))
		count := 0

		for _, p := range Place(m, 93, all).DirectProxies() {
			if rules[p.ID].Observes(m) {
				perProxy[p.ID]++
				count++
			}
		}

		assert.Assert(t, count >= minObservers && count <= 4, "%s has %d observers", m.Member, count)
	}

	for id, n := range perProxy {
		assert.Assert(t, n <= 3*meanObserved, "%s observes %d primaries", id, n)
	}
}

// TestSameAsSorted compares the direct proxies, the gateways and the observers with those of a placement that sorts all
// proxies: a difference would move the connections of a deployment while it is updated.
func TestSameAsSorted(t *testing.T) {
	for _, connections := range []int{5, 24, 45, 93, 162, 400} {
		for n := range 20 {
			m := westernMember(fmt.Sprintf("member-%d", n))
			all := proxies(6, 13+n)
			sorted := ranked(m.Member, m.Region, all)

			p := Place(m, connections, all)
			assert.Equal(t, len(p.DirectProxies()), min(len(all), connections-reservedConnections))
			assertSame(t, p.DirectProxies(), sorted[:len(p.DirectProxies())])
			assertSameView(t, m, p, all, sorted)

			p = PlaceGateways(m, connections, all)
			assert.DeepEqual(t, p.DirectProxies(), sortedGateways(connections, sorted))
			assertSameView(t, m, p, all, sorted)
		}
	}
}

// sortedGateways returns the direct proxies for PlaceGateways among all proxies in the order of their ranks.
func sortedGateways(connections int, sorted []lab.Instance) []lab.Instance {
	var out []lab.Instance

	for round := range GatewaysPerZone {
		seen := map[string]int{}

		for _, i := range sorted {
			seen[i.AvailabilityZone]++

			if seen[i.AvailabilityZone] == round+1 && (len(out)+1)*minPerGateway <= max(connections-reservedConnections, minPerGateway) {
				out = append(out, i)
			}
		}
	}

	return out
}

func assertSame(t *testing.T, got, want []lab.Instance) {
	t.Helper()

	byID := func(a, b lab.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) }
	assert.DeepEqual(t, slices.SortedFunc(slices.Values(got), byID), slices.SortedFunc(slices.Values(want), byID))
}

func assertSameView(t *testing.T, m lab.Announcement, p Placement, all, sorted []lab.Instance) {
	t.Helper()

	self := all[len(all)/2].ID
	gateways := slices.DeleteFunc(ranked(string(self), m.Region, p.DirectProxies()), func(i lab.Instance) bool { return i.ID == self })
	assert.DeepEqual(t, NewView(self, all, 8).Gateways(m, p), gateways)

	var want []lab.Instance

	inZone := map[string]int{}

	for _, i := range sorted {
		if !slices.Contains(p.DirectProxies(), i) {
			continue
		}

		if inZone[i.AvailabilityZone]++; inZone[i.AvailabilityZone] <= observersPerZone {
			want = append(want, i)
		}
	}

	assertSame(t, observers(m, p.DirectProxies(), all, 8), want)
}

// BenchmarkObserves measures the search for the primaries that a proxy observes: each proxy does it for all primaries
// after a change of the list.
func BenchmarkObserves(b *testing.B) {
	all := proxies(6, 50)
	members := make([]lab.Announcement, 1000)

	for i := range members {
		members[i] = westernMember(fmt.Sprintf("member-%d", i))
	}

	for b.Loop() {
		v := NewView("proxy-1-1", all, len(members))
		for i := range members {
			v.Observes(members[i])
		}
	}
}

// BenchmarkPlace measures the placement of one member over 300 proxies. After a change of the list every proxy places 60
// members on a fifth of a core.
func BenchmarkPlace(b *testing.B) {
	all := proxies(6, 50)
	v := NewView("proxy-1-1", all, 20)

	for b.Loop() {
		p := Place(westernMember("m"), 162, all)
		v.Gateways(westernMember("m"), p)
	}
}

// drawProxies returns 1 to 300 proxies in 1 to 6 zones of two regions. The zones may have different numbers of proxies.
func drawProxies(t *rapid.T) []lab.Instance {
	zones := rapid.IntRange(1, 6).Draw(t, "zones")

	var out []lab.Instance

	for n := range rapid.IntRange(1, 300).Draw(t, "proxies") {
		z := n % zones
		if n >= zones {
			z = rapid.IntRange(0, zones-1).Draw(t, "zone")
		}

		out = append(out, lab.Instance{
			ID: lab.InstanceID(fmt.Sprintf("proxy-%d", n)), AvailabilityZone: fmt.Sprintf("zone-%d", z),
			Region: []string{"west", "east"}[z%2],
		})
	}

	return out
}

func countByZone(all []lab.Instance) map[string]int {
	out := map[string]int{}
	for _, i := range all {
		out[i.AvailabilityZone]++
	}

	return out
}

// TestPlaceGatewaysRandom checks placements from one proxy to hundreds. Too many connections in all are refused by the
// member, and a zone with one gateway loses it with that proxy.
func TestPlaceGatewaysRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawProxies(t)
		connections := rapid.IntRange(5, 216).Draw(t, "connections")
		p := PlaceGateways(westernMember("m"), connections, all)
		gateways := len(p.DirectProxies())

		ids := map[lab.InstanceID]bool{}
		for _, i := range p.DirectProxies() {
			ids[i.ID] = true
		}

		assert.Equal(t, len(ids), gateways, "no gateway counts twice")
		assert.Assert(t, gateways >= 1)
		assert.Assert(t, gateways*p.MaxPerProxy <= connections-reservedConnections)
		assert.Assert(t, p.RetainedPerProxy <= p.MaxPerProxy)
		assert.Assert(t, gateways == 1 || p.MaxPerProxy >= minPerGateway)

		// Two gateways in each zone, or all of its proxies, if the connections suffice; else the member's region comes first.
		want, first := 0, 0
		present := countByZone(all)

		for _, n := range present {
			want += min(n, GatewaysPerZone)
			first++
		}

		room := max(1, (connections-reservedConnections)/minPerGateway)
		assert.Equal(t, gateways, min(want, room))

		for z, n := range countByZone(p.DirectProxies()) {
			assert.Assert(t, n <= GatewaysPerZone, "%s has %d", z, n)
			assert.Assert(t, n == 1 || gateways > first, "a second gateway before the first one of another zone")
		}

		// The proxies agree, in whatever order they know each other.
		direct := p.DirectProxies()
		slices.Reverse(all)
		other := PlaceGateways(westernMember("m"), connections, all)
		assert.DeepEqual(t, other.DirectProxies(), direct)
		assert.Equal(t, other.MaxPerProxy, p.MaxPerProxy)
		assert.Equal(t, other.RetainedPerProxy, p.RetainedPerProxy)
	})
}

// TestGatewayMoves guards against a placement that moves many connections when a proxy comes or goes. Each of them takes
// a slot of the member for 12 ms.
func TestGatewayMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawProxies(t)
		if len(all) == 1 {
			t.Skip("no proxy is left")
		}

		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		left := slices.Delete(slices.Clone(all), lost, lost+1)
		connections := rapid.IntRange(5, 216).Draw(t, "connections")
		before := PlaceGateways(westernMember("m"), connections, all).DirectProxies()
		after := PlaceGateways(westernMember("m"), connections, left).DirectProxies()
		moved := 0

		for _, p := range after {
			if !slices.Contains(before, p) {
				moved++
			}
		}

		assert.Assert(t, moved <= 1, "%d gateways moved", moved)

		if !slices.Contains(before, all[lost]) {
			assert.DeepEqual(t, after, before)
		}
	})
}

// TestGatewaysOf checks that the proxies of a zone send the statements of an organisation to the same gateway of their zone,
// where its connections are open, and that the organisations are spread over the gateways.
func TestGatewaysOf(t *testing.T) {
	gateways := PlaceGateways(westernMember("m"), 70, proxies(6, 15)).DirectProxies()
	first := map[lab.InstanceID]int{}

	for n := range 84 {
		organisation := fmt.Sprintf("organisation-%d", n)
		order := GatewaysOf(organisation, westernMember("m"), "zone-3", "east", gateways)
		assert.Equal(t, len(order), len(gateways))
		assert.Equal(t, order[0].AvailabilityZone, "zone-3")
		assert.Equal(t, order[1].AvailabilityZone, "zone-3")
		assert.Equal(t, countInRegion("east", order[:6]), 6, "the region's gateways come before distant ones")

		first[order[0].ID]++

		lost := slices.DeleteFunc(slices.Clone(gateways), func(i lab.Instance) bool { return i.ID == order[0].ID })
		assert.DeepEqual(t, GatewaysOf(organisation, westernMember("m"), "zone-3", "east", lost), order[1:])
	}

	assert.Equal(t, len(first), GatewaysPerZone)

	for id, n := range first {
		assert.Assert(t, n >= 84/4, "%s comes first for %d organisations", id, n)
	}
}
