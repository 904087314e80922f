package labslope

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const changeRounds = 10

func measureChanges(ctx context.Context, points []int, r *Report) error {
	r.Unit = "proxies"
	r.Columns = []string{"ms to all", "bytes to relays", "bytes to proxies", "full catalog B"}
	r.note("%d databases of %d members, %d organisations; mean of %d changes.", fleetDatabases, databaseMembers, fleetOrganisations, changeRounds)
	r.note("ms to all: commit, one heartbeat round of all proxies on one core, delta in force at every proxy; without network and heartbeat interval.")
	r.note("Bytes: what the answers have above those of a round without a change. Full catalog: one proxy that starts.")

	for _, n := range points {
		if err := spreadChanges(ctx, n, r); err != nil {
			return err
		}
	}

	return nil
}

func spreadChanges(ctx context.Context, proxies int, r *Report) error {
	f, err := newFleet(ctx, proxies, fleetDatabases, fleetOrganisations)
	if err != nil {
		return err
	}

	full, err := msgpack.Marshal(f.server.Catalog.Delta(0))
	if err != nil {
		return errors.Newf("encode catalog: %w", err)
	}

	if err := f.start(ctx); err != nil {
		return err
	}

	var (
		plain, changed cost
		took           time.Duration
	)

	for range changeRounds {
		c, err := f.second(ctx)
		if err != nil {
			return err
		}

		plain.add(c)

		begin := time.Now()

		if err := f.change(); err != nil {
			return err
		}

		if c, err = f.round(ctx, time.Second); err != nil {
			return err
		}

		took += time.Since(begin)

		changed.add(c)

		if err := f.checkChange(); err != nil {
			return err
		}
	}

	r.add(proxies, took.Seconds()*1000/changeRounds,
		float64(changed.leaderBytes-plain.leaderBytes)/changeRounds,
		float64(changed.proxyBytes-plain.proxyBytes)/changeRounds, float64(len(full)))

	return nil
}

// checkChange fails unless every proxy has the configuration version of control.
func (f *fleet) checkChange() error {
	want := f.server.Catalog.Version()

	for _, p := range f.proxies {
		if v, _ := p.routes.Version(); v != want {
			return errors.Newf("%s has version %d instead of %d", p.beat.Instance.ID, v, want)
		}
	}

	return nil
}
