package labslope

import (
	"context"
	"runtime"
	"time"

	"laburnumlock.dev/lab/control/process/labcontrol"
)

// measuredSeconds is the number of simulated seconds over which costs are averaged, since processor time has a coarse
// resolution and garbage collection runs at irregular times.
const measuredSeconds = 30

func measureHeartbeats(ctx context.Context, points []int, r *Report) error {
	r.Unit = "proxies"
	r.Columns = []string{
		"leader us/s", "leader B/s", "proxies us/s", "proxies B/s",
		"leader us/change", "leader B/change", "proxies us/change", "proxies B/change",
	}
	r.addNote("%d databases of %d members, %d organisations; mean of %d s.", fleetDatabases, databaseMembers, fleetOrganisations, measuredSeconds)
	r.addNote("leader: the batches and responses of %d relays and %d ticks; proxies: sum of all proxies. Bytes in both directions, without the overhead of QUIC and UDP.",
		fleetRelays, ticksPerSecond)
	r.addNote("Both times include garbage collection, which runs more often with few proxies because the heap is smaller.")
	r.addNote("change: additional cost of one change over the steady state, with the early heartbeat by which each proxy confirms it.")

	for _, n := range points {
		if err := measureFleetHeartbeats(ctx, n, r); err != nil {
			return err
		}
	}

	return nil
}

func measureFleetHeartbeats(ctx context.Context, proxies int, r *Report) error {
	f, err := newFleet(ctx, proxies, fleetDatabases, fleetOrganisations)
	if err != nil {
		return err
	}

	if err := f.initialize(ctx); err != nil {
		return err
	}

	runtime.GC()

	var steady, changing roundCost

	for range measuredSeconds {
		c, err := f.runSecond(ctx)
		if err != nil {
			return err
		}

		steady.add(c)
	}

	for range measuredSeconds {
		c, err := f.runSecondWithChange(ctx)
		if err != nil {
			return err
		}

		changing.add(c)
	}

	leaderTime, proxyTime := meanMicroseconds(steady.leaderTime), meanMicroseconds(steady.proxyTime)
	leaderBytes, proxyBytes := meanBytes(steady.leaderBytes), meanBytes(steady.proxyBytes)
	leaderChange, proxyChange := meanMicroseconds(changing.leaderTime)-leaderTime, meanMicroseconds(changing.proxyTime)-proxyTime
	proxyChangeBytes := meanBytes(changing.proxyBytes) - proxyBytes
	r.addPoint(proxies, leaderTime, leaderBytes, proxyTime, proxyBytes,
		leaderChange, meanBytes(changing.leaderBytes)-leaderBytes, proxyChange, proxyChangeBytes)

	count := float64(proxies)
	r.addNote("Each of %d proxies: %s us/s and %s B/s, and %s us and %s B per change.", proxies,
		formatNumber(proxyTime/count), formatNumber(proxyBytes/count), formatNumber(proxyChange/count), formatNumber(proxyChangeBytes/count))

	return nil
}

// runSecondWithChange simulates a second in which one change is committed. Every proxy then sends an early heartbeat,
// which confirms the change without waiting for the next second.
func (f *fleet) runSecondWithChange(ctx context.Context) (roundCost, error) {
	begin := processorTime()

	if err := f.commitChange(); err != nil {
		return roundCost{}, err
	}

	commitTime := processorTime() - begin

	c, err := f.runSecond(ctx)
	if err != nil {
		return c, err
	}

	confirmation, err := f.runHeartbeatRound(ctx, labcontrol.PendingDelay)
	c.add(confirmation)
	c.leaderTime += commitTime

	return c, err
}

func meanMicroseconds(total time.Duration) float64 {
	return float64(total.Microseconds()) / measuredSeconds
}

func meanBytes(bytes int) float64 {
	return float64(bytes) / measuredSeconds
}
