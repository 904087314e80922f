package labslope

import (
	"context"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/version/lablocalcatalog"
)

const applyCount = 2000

func measureLocalCatalogs(ctx context.Context, points []int, r *Report) error {
	r.Unit = "databases"
	r.Columns = []string{"heap B", "encoded B", "us to apply one"}
	r.addNote("Databases of %d members with gateways among %d proxies, no organisations. The time is the mean of %d deltas of one database each, without decoding.",
		databaseMembers, fleetProxies, applyCount)

	for _, n := range points {
		if err := measureLocalCatalog(ctx, n, r); err != nil {
			return err
		}
	}

	return nil
}

func measureLocalCatalog(ctx context.Context, databases int, r *Report) error {
	f, err := newFleet(ctx, fleetProxies, databases, 0)
	if err != nil {
		return err
	}

	data, err := msgpack.Marshal(f.server.Catalog.Delta(0))
	if err != nil {
		return errors.Newf("encode catalog: %w", err)
	}

	before := heapBytes()
	localCatalog := lablocalcatalog.New()

	if err := applyEncoded(localCatalog, data); err != nil {
		return err
	}

	heap := heapBytes() - before

	runtime.KeepAlive(data) // before includes the size of data, so data must stay allocated until here

	took, err := timeApply(localCatalog)
	if err != nil {
		return err
	}

	if _, ok := localCatalog.Database(databaseName(databases - 1)); !ok {
		return errors.Newf("local catalog has no database %s", databaseName(databases-1))
	}

	r.addPoint(databases, heap, float64(len(data)), float64(took.Nanoseconds())/1000/applyCount)

	return nil
}

// applyEncoded decodes and applies a delta as a proxy does, so that the heap includes the strings that the local
// catalog keeps from the delta.
func applyEncoded(localCatalog *lablocalcatalog.Catalog, data []byte) error {
	var d lab.CatalogDelta
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return errors.Newf("decode catalog: %w", err)
	}

	return localCatalog.Apply(d)
}

func timeApply(localCatalog *lablocalcatalog.Catalog) (time.Duration, error) {
	d, ok := localCatalog.Database(databaseName(0))
	if !ok {
		return 0, errors.New("local catalog has no database")
	}

	version, index := localCatalog.Version()
	begin := time.Now()

	for range applyCount {
		delta := lab.CatalogDelta{BaseIndex: index, Index: index + 1, Version: version, Databases: []lab.Database{*d}}
		if err := localCatalog.Apply(delta); err != nil {
			return 0, err
		}

		index++
	}

	return time.Since(begin), nil
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()

	var m runtime.MemStats

	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}
