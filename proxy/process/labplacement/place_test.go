package labplacement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func proxies(zones, each int) []lab.Instance {
	var out []lab.Instance

	for z := range zones {
		for n := range each {
			out = append(out, lab.Instance{
				ID: lab.InstanceID(fmt.Sprintf("proxy-%d-%d", z, n)), AvailabilityZone: fmt.Sprintf("zone-%d", z),
			})
		}
	}

	return out
}

func TestPlace(t *testing.T) {
	for _, c := range []struct {
		name        string
		connections int
		zones, each int
		gateways    int
		share       int
	}{
		{"first proxy", 24, 1, 0, 0, 22},
		{"all connect", 24, 3, 3, 0, 2},
		{"one each", 24, 3, 7, 0, 1},
		{"gateways", 45, 6, 13, 12, 3},
		{"many connections", 216, 6, 13, 0, 2},
		{"few connections", 5, 6, 13, 6, 1},
		{"two years on", 45, 7, 119, 14, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := proxies(c.zones, c.each)
			p := Place("s", c.connections, all)
			assert.Equal(t, len(p.Gateways), c.gateways)
			assert.Equal(t, p.Share, c.share)

			slices.Reverse(all)
			assert.DeepEqual(t, Place("s", c.connections, all), p)
		})
	}
}

// TestMoves checks that a lost proxy moves no other gateway, and that services spread over the proxies.
func TestMoves(t *testing.T) {
	all := proxies(6, 13)
	before := Place("s", 45, all)
	lost := before.Gateways[0]

	left := slices.DeleteFunc(slices.Clone(all), func(i lab.Instance) bool { return i.ID == lost })
	after := Place("s", 45, left)

	moved := 0

	for _, g := range after.Gateways {
		if !slices.Contains(before.Gateways, g) {
			moved++
		}
	}

	assert.Equal(t, moved, 1)

	duties := map[lab.InstanceID]int{}

	for n := range 8 {
		for _, g := range Place(fmt.Sprintf("service-%d", n), 45, all).Gateways {
			duties[g]++
		}
	}

	for id, n := range duties {
		assert.Assert(t, n <= 5, "%s is the gateway of %d services", id, n)
	}
}
