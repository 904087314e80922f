package lab_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against entries of another writer: one with a port out of range or a huge number must name no member.
func TestValidate(t *testing.T) {
	valid := lab.Announcement{Database: "s", Member: "m", Address: "10.0.0.1:80", Incarnation: 1_700_000_000_000, Sequence: 4, Slots: 3}
	assert.NilError(t, valid.Validate())

	zone := valid
	zone.AvailabilityZone, zone.Region = "hall 2", "gulf coast"
	assert.NilError(t, zone.Validate(), "no member is told the names of zones and regions")
	assert.NilError(t, lab.Announcement{Member: "m", Terminated: true}.Validate(), "a farewell has no other fields")

	for _, c := range []struct {
		name   string
		change func(*lab.Announcement)
	}{
		{"no name", func(a *lab.Announcement) { a.Member = "" }},
		{"long name", func(a *lab.Announcement) { a.Member = strings.Repeat("m", 1000) }},
		{"line end in the name", func(a *lab.Announcement) { a.Member = "m\r\nQUERY 0dd0 STORE x y" }},
		{"blank in the service", func(a *lab.Announcement) { a.Database = "s who" }},
		{"blank in the name", func(a *lab.Announcement) { a.Member = "m x" }},
		{"line end in the name of a farewell", func(a *lab.Announcement) { a.Member, a.Terminated = "m\nx", true }},
		{"line end in the service", func(a *lab.Announcement) { a.Database = "s who\r\nQUERY 0dd0 STORE x y" }},
		{"control character in the zone", func(a *lab.Announcement) { a.AvailabilityZone = "z\x00" }},
		{"line end in the address", func(a *lab.Announcement) { a.Address = "[::1%\r\n]:80" }},
		{"no service", func(a *lab.Announcement) { a.Database = "" }},
		{"long zone", func(a *lab.Announcement) { a.AvailabilityZone = strings.Repeat("z", 1000) }},
		{"no port", func(a *lab.Announcement) { a.Address = "10.0.0.1" }},
		{"port 0", func(a *lab.Announcement) { a.Address = "10.0.0.1:0" }},
		{"port out of range", func(a *lab.Announcement) { a.Address = "10.0.0.1:65536" }},
		{"negative port", func(a *lab.Announcement) { a.Address = "10.0.0.1:-1" }},
		{"no host", func(a *lab.Announcement) { a.Address = ":80" }},
		{"negative slots", func(a *lab.Announcement) { a.Slots = -1 }},
		{"huge slots", func(a *lab.Announcement) { a.Slots = math.MaxInt }},
		{"huge sequence", func(a *lab.Announcement) { a.Sequence = math.MaxUint64 }},
		{"huge incarnation", func(a *lab.Announcement) { a.Incarnation = math.MaxUint64 }},
		{"huge incarnation of a farewell", func(a *lab.Announcement) { a.Incarnation, a.Terminated = math.MaxUint64, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := valid
			c.change(&a)
			assert.Assert(t, a.Validate() != nil)
		})
	}
}
