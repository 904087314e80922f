package labslope

import (
	"context"
	"runtime"
	"time"

	"laburnumlock.dev/lab/control/process/labcontrol"
)

// measuredSeconds are averaged, since processor time has a coarse resolution and garbage collection comes in bursts.
const measuredSeconds = 30

func measureHeartbeats(ctx context.Context, points []int, r *Report) error {
	r.Unit = "proxies"
	r.Columns = []string{
		"leader us/s", "leader B/s", "proxies us/s", "proxies B/s",
		"leader us/change", "leader B/change", "proxies us/change", "proxies B/change",
	}
	r.note("%d databases of %d members, %d organisations; mean of %d s.", fleetDatabases, databaseMembers, fleetOrganisations, measuredSeconds)
	r.note("leader: all batches and answers of %d relays and %d ticks; proxies: all of them together. Bytes both ways, without QUIC and UDP.",
		fleetRelays, ticksPerSecond)
	r.note("Both times include garbage collection, which the small heap of few proxies runs more often.")
	r.note("change: cost of one change above the steady state, with the early heartbeat by which each proxy confirms it.")

	for _, n := range points {
		if err := measureFleet(ctx, n, r); err != nil {
			return err
		}
	}

	return nil
}

func measureFleet(ctx context.Context, proxies int, r *Report) error {
	f, err := newFleet(ctx, proxies, fleetDatabases, fleetOrganisations)
	if err != nil {
		return err
	}

	if err := f.start(ctx); err != nil {
		return err
	}

	runtime.GC()

	var steady, changing cost

	for range measuredSeconds {
		c, err := f.second(ctx)
		if err != nil {
			return err
		}

		steady.add(c)
	}

	for range measuredSeconds {
		c, err := f.changingSecond(ctx)
		if err != nil {
			return err
		}

		changing.add(c)
	}

	leader, all := microseconds(steady.leader), microseconds(steady.proxies)
	leaderBytes, allBytes := perSecond(steady.leaderBytes), perSecond(steady.proxyBytes)
	leaderChange, allChange := microseconds(changing.leader)-leader, microseconds(changing.proxies)-all
	allChangeBytes := perSecond(changing.proxyBytes) - allBytes
	r.add(proxies, leader, leaderBytes, all, allBytes,
		leaderChange, perSecond(changing.leaderBytes)-leaderBytes, allChange, allChangeBytes)

	count := float64(proxies)
	r.note("One of %d proxies: %s us/s and %s B/s, and %s us and %s B for a change.", proxies,
		number(all/count), number(allBytes/count), number(allChange/count), number(allChangeBytes/count))

	return nil
}

// changingSecond is a second in which one change arrives and every proxy confirms it with an early heartbeat.
func (f *fleet) changingSecond(ctx context.Context) (cost, error) {
	begin := processorTime()

	if err := f.change(); err != nil {
		return cost{}, err
	}

	accepted := processorTime() - begin

	c, err := f.second(ctx)
	if err != nil {
		return c, err
	}

	confirmed, err := f.round(ctx, labcontrol.PendingDelay)
	c.add(confirmed)
	c.leader += accepted

	return c, err
}

func microseconds(total time.Duration) float64 {
	return float64(total.Microseconds()) / measuredSeconds
}

func perSecond(bytes int) float64 {
	return float64(bytes) / measuredSeconds
}
