package labslope

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const changeCount = 10

func measureChanges(ctx context.Context, points []int, r *Report) error {
	r.Unit = "proxies"
	r.Columns = []string{"ms to all", "bytes to relays", "bytes to proxies", "full catalog B"}
	r.addNote("%d databases of %d members, %d organisations; mean of %d changes.", fleetDatabases, databaseMembers, fleetOrganisations, changeCount)
	r.addNote("ms to all: commit, one heartbeat round of all proxies on one core, delta applied at every proxy; without network and heartbeat interval.")
	r.addNote("Bytes: size of the responses minus their size in a round without a change. Full catalog: for one proxy that starts.")

	for _, n := range points {
		if err := measureChangeDistribution(ctx, n, r); err != nil {
			return err
		}
	}

	return nil
}

func measureChangeDistribution(ctx context.Context, proxies int, r *Report) error {
	f, err := newFleet(ctx, proxies, fleetDatabases, fleetOrganisations)
	if err != nil {
		return err
	}

	full, err := msgpack.Marshal(f.server.Catalog.Delta(0))
	if err != nil {
		return errors.Newf("encode catalog: %w", err)
	}

	if err := f.initialize(ctx); err != nil {
		return err
	}

	var (
		unchanged, changed roundCost
		took               time.Duration
	)

	for range changeCount {
		c, err := f.runSecond(ctx)
		if err != nil {
			return err
		}

		unchanged.add(c)

		begin := time.Now()

		if err := f.commitChange(); err != nil {
			return err
		}

		if c, err = f.runHeartbeatRound(ctx, time.Second); err != nil {
			return err
		}

		took += time.Since(begin)

		changed.add(c)

		if err := f.checkVersions(); err != nil {
			return err
		}
	}

	r.addPoint(proxies, took.Seconds()*1000/changeCount,
		float64(changed.leaderBytes-unchanged.leaderBytes)/changeCount,
		float64(changed.proxyBytes-unchanged.proxyBytes)/changeCount, float64(len(full)))

	return nil
}

// checkVersions returns an error unless every proxy has the configuration version of the leader.
func (f *fleet) checkVersions() error {
	want := f.server.Catalog.Version()

	for _, p := range f.proxies {
		if v, _ := p.localCatalog.Version(); v != want {
			return errors.Newf("%s has configuration version %d instead of %d", p.heartbeat.Instance.ID, v, want)
		}
	}

	return nil
}
