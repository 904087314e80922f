package labplacement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// proxies returns each proxies in every one of the zones; the zones' regions alternate between west and east.
func proxies(zones, each int) []lab.Instance {
	var out []lab.Instance

	for z := range zones {
		for n := range each {
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

func inRegion(region string, all []lab.Instance) int {
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
		name                   string
		connections            int
		zones, each            int
		holders                int
		local                  int // holders in the member's region
		maxPerHolder, retained int
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
			all := proxies(c.zones, c.each)
			p := Place(westernMember("m"), c.connections, all)
			assert.Equal(t, len(p.DirectProxies), c.holders)
			assert.Equal(t, inRegion("west", p.DirectProxies), c.local)
			assert.Equal(t, p.MaxPerProxy, c.maxPerHolder)
			assert.Equal(t, p.RetainedPerProxy, c.retained)
			assert.Assert(t, p.MaxPerProxy == 1 || 2*c.holders*p.RetainedPerProxy <= c.connections-reservedConnections, "no room for new connections after a power loss")
			assert.Assert(t, len(p.DirectProxies)*p.MaxPerProxy <= c.connections-reservedConnections)

			slices.Reverse(all)
			assert.Equal(t, len(Place(westernMember("m"), c.connections, all).DirectProxies), c.holders)
		})
	}
}

// TestMoves checks that the loss of a proxy moves only one connection, and that the connections to several members are
// spread over the proxies.
func TestMoves(t *testing.T) {
	all := proxies(6, 13)
	before := Place(westernMember("m"), 22, all)
	lost := before.DirectProxies[0].ID

	left := slices.DeleteFunc(slices.Clone(all), func(i lab.Instance) bool { return i.ID == lost })
	after := Place(westernMember("m"), 22, left)

	moved := 0

	for _, h := range after.DirectProxies {
		if !slices.Contains(before.DirectProxies, h) {
			moved++
		}
	}

	assert.Equal(t, moved, 1)

	held := map[lab.InstanceID]int{}

	for n := range 8 {
		for _, h := range Place(westernMember(fmt.Sprintf("member-%d", n)), 22, all).DirectProxies {
			held[h.ID]++
		}
	}

	for id, n := range held {
		assert.Assert(t, n <= 7, "%s holds connections to %d members", id, n)
	}
}

// TestGateways checks that no holder becomes the first gateway of many proxies when all proxies of the other region relay
// their statements for one member.
func TestGateways(t *testing.T) {
	all := proxies(6, 13)
	holders := Place(westernMember("m"), 45, all).DirectProxies
	first := map[lab.InstanceID]int{}
	senders := 0

	for _, i := range all {
		g := Gateways(i.ID, westernMember("m"), holders)
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
		assert.Assert(t, n <= 6, "%s is the first choice of %d proxies", id, n)
	}
}
