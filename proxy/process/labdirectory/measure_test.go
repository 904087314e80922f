package labdirectory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

// measured returns a directory of a proxy in the given zone, and its clock. The members of the service are the primary p
// and the replicas a, in zone z, and b.
func measured(zone string, fixedCosts bool) (*Directory, *manualClock) {
	d, _ := newDirectory(24)
	clock := &manualClock{now: time.Hour}
	d.Clock, d.Random, d.AvailabilityZone, d.FixedCosts = clock, labrandom.NewSeeded(3), zone, fixedCosts
	d.services = nil
	d.UpdateMembers([]lab.Announcement{
		{Database: "s", Member: "p", Address: "127.0.0.1:1", AvailabilityZone: "x", Region: "west"},
		{Database: "s", Member: "a", Address: "127.0.0.1:2", AvailabilityZone: "z", Region: "west"},
		{Database: "s", Member: "b", Address: "127.0.0.1:3", AvailabilityZone: "y", Region: "west"},
	}, map[string]string{"s": "p"}, true)

	return d, clock
}

// read selects the member of a read, and records a sample of it.
func read(t *testing.T, d *Directory, clock *manualClock, samples map[string]labsample.Sample) string {
	t.Helper()

	clock.now += 100 * time.Millisecond

	p, _ := d.ReadSource("s", lab.CommitPosition{}, nil)
	assert.Assert(t, p != nil)

	m := p.Member().Member
	if f := d.services["s"].members[m].pool.OnSample; f != nil {
		f(samples[m])
	}

	return m
}

func share(t *testing.T, d *Directory, clock *manualClock, samples map[string]labsample.Sample, member string) float64 {
	t.Helper()

	n := 0
	for range 100 {
		if read(t, d, clock, samples) == member {
			n++
		}
	}

	return float64(n) / 100
}

func served(d time.Duration) labsample.Sample {
	return labsample.Sample{Served: true, Read: true, Latency: d}
}

func TestMeasuredSelection(t *testing.T) {
	fast := map[string]labsample.Sample{
		"p": served(20 * time.Millisecond), "a": served(20 * time.Millisecond), "b": served(20 * time.Millisecond),
	}
	slow := map[string]labsample.Sample{"p": fast["p"], "a": served(160 * time.Millisecond), "b": fast["b"]}
	failing := map[string]labsample.Sample{"p": fast["p"], "a": {Lost: true}, "b": fast["b"]}

	// Load: a member 8 times slower, or one that fails with good health answers; it is used again within 2 s.
	for name, samples := range map[string]map[string]labsample.Sample{"slow": slow, "failing": failing} {
		t.Run(name, func(t *testing.T) {
			d, clock := measured("z", false)
			assert.Equal(t, share(t, d, clock, fast, "a"), 1.0)
			share(t, d, clock, samples, "a")
			assert.Assert(t, share(t, d, clock, samples, "a") <= 0.35, "trials only")
			assert.Assert(t, d.Measurements()["s/a"].Ejected)

			for range 20 {
				read(t, d, clock, fast)
			}

			assert.Assert(t, !d.Measurements()["s/a"].Ejected)
			assert.Assert(t, share(t, d, clock, fast, "a") > 0.9)
		})
	}

	// Load: a member that is slow only for the clients of zone z.
	t.Run("slow for one zone", func(t *testing.T) {
		z, clockZ := measured("z", false)
		y, clockY := measured("y", false)

		share(t, z, clockZ, fast, "a")
		share(t, z, clockZ, slow, "a")
		assert.Assert(t, share(t, z, clockZ, slow, "a") <= 0.35)
		assert.Equal(t, share(t, y, clockY, fast, "b"), 1.0)
	})

	// Guards against an ejected member that is preferred to the consistency rules, and against reads without a member.
	t.Run("ejected and the only one", func(t *testing.T) {
		d, clock := measured("z", false)
		share(t, d, clock, failing, "a")

		p, _ := d.ReadSource("s", lab.CommitPosition{}, map[string]bool{"b": true, "p": true})
		assert.Equal(t, p.Member().Member, "a")
	})

	t.Run("fixed costs", func(t *testing.T) {
		d, clock := measured("z", true)
		share(t, d, clock, slow, "a")
		assert.Equal(t, share(t, d, clock, slow, "a"), 1.0)
		assert.Assert(t, d.services["s"].members["a"].pool.Limit == nil)
	})

	// Guards against reads that leave the near member by chance, since statements take 3 to 47 ms.
	t.Run("calm", func(t *testing.T) {
		d, clock := measured("z", false)
		away := 0

		for i := range 2000 {
			kind := time.Duration([]int{3, 30, 8, 47, 24, 47, 15}[i*i%7]) * time.Millisecond
			if read(t, d, clock, map[string]labsample.Sample{"p": served(kind), "a": served(kind), "b": served(kind)}) != "a" {
				away++
			}
		}

		assert.Assert(t, away < 20, "%d of 2000 reads", away)
	})

	t.Run("no samples", func(t *testing.T) {
		d, clock := measured("z", false)
		assert.Equal(t, share(t, d, clock, nil, "a"), 1.0)
	})
}
