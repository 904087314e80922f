package labregistry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const (
	defaultRetention        = 24 * time.Hour
	defaultMaxRetention     = 7 * 24 * time.Hour
	defaultMaxEntries       = 400_000 // about 60 MB
	defaultCallTimeout      = time.Second
	defaultSnapshotInterval = 30 * time.Second
	maxKeyBytes             = 256
	maxTagBytes             = 64
	// quorum is the number of replicas that must record a key.
	quorum            = 2
	shards            = 16
	reconcileInterval = time.Second
)

// Registry reserves idempotency keys for requests of this process, and is a replica that stores entries for other
// processes. It implements lab.IdempotencyRegistry, and its Handle method is the lab.CallHandler of lab.MethodRegistry.
// Exported fields are set before Open.
type Registry struct {
	Self             lab.Instance
	Catalog          lab.Catalog
	Peers            lab.PeerClient
	Clock            lab.Clock
	Random           lab.Random
	Folder           string        // folder of the snapshot file; no snapshots are written when empty
	Retention        time.Duration // retention of keys that are reserved without one; 24 h when zero
	MaxRetention     time.Duration // upper bound of a key's retention; 7 days when zero
	MaxEntries       int64         // maximum number of stored entries; 400,000 when zero
	CallTimeout      time.Duration // timeout of each call to a replica; 1 s when zero
	SnapshotInterval time.Duration // time between periodic snapshots; 30 s when zero
	OnSnapshotError  func(error)   // called when a periodic snapshot can't be written; may be nil

	entryCount         atomic.Int64 // number of entries in all tables
	closed             atomic.Bool
	saveLock           sync.Mutex // held while a snapshot is written
	intactIncarnations []uint64   // incarnations of this process of which all entries are still stored
	shards             [shards]shard
}

// shard holds the entry tables and the reservations of the databases whose names hash to it.
type shard struct {
	lock         sync.Mutex
	tables       map[string]*entryTable // entry tables by database
	reservations map[reservationKey]reservation
}

type reservationKey struct {
	database string
	key      string // organisation and idempotency key, joined by entryKey
}

// reservation is a key that this process has reserved and whose outcome it has not stored yet.
type reservation struct {
	token     token
	retention time.Duration
	expiry    time.Duration // value of Clock.Now after which the replicas drop the entry
}

var _ lab.IdempotencyRegistry = (*Registry)(nil)

// Open sets the defaults and loads the snapshot, if there is one. It must be called before any other method.
func (r *Registry) Open() error {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&r.Retention, defaultRetention},
		{&r.MaxRetention, defaultMaxRetention},
		{&r.CallTimeout, defaultCallTimeout},
		{&r.SnapshotInterval, defaultSnapshotInterval},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}

	if r.MaxEntries == 0 {
		r.MaxEntries = defaultMaxEntries
	}

	r.intactIncarnations = []uint64{r.Self.Incarnation}

	for i := range r.shards {
		r.shards[i].tables = map[string]*entryTable{}
		r.shards[i].reservations = map[reservationKey]reservation{}
	}

	return r.load()
}

// Run reconciles the entry tables with the catalog and writes periodic snapshots until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	savedAt := r.Clock.Now()

	for r.Clock.Sleep(ctx, reconcileInterval) == nil {
		r.Reconcile(ctx)

		if r.Clock.Now()-savedAt < r.SnapshotInterval {
			continue
		}

		savedAt = r.Clock.Now()

		// A failed snapshot, for example on a full disk, does not stop the registry. The next interval retries it.
		if err := r.save(false); err != nil && r.OnSnapshotError != nil {
			r.OnSnapshotError(err)
		}
	}

	return nil
}

// Reconcile updates all entry tables to the placements in the catalog and starts the transfers that are needed.
func (r *Registry) Reconcile(ctx context.Context) {
	for i := range r.shards {
		s := &r.shards[i]
		s.lock.Lock()

		databases := make([]string, 0, len(s.tables))
		for d := range s.tables {
			databases = append(databases, d)
		}

		s.lock.Unlock()

		for _, d := range databases {
			r.reconcileDatabase(ctx, d)
		}
	}
}

// reconcileDatabase drops the expired entries of one database, updates its entry table to the placement in the catalog
// and starts a transfer if one is needed.
func (r *Registry) reconcileDatabase(ctx context.Context, database string) {
	p, ok := r.placement(database)
	t := r.table(database)
	t.lock.Lock()
	defer t.lock.Unlock()

	now := r.Clock.Now()
	t.expire(now)

	if ok {
		t.learnPlacements(now, p)
	}

	r.startTransfer(ctx, database, t)
}

// Close rejects further calls and writes a snapshot. An incarnation that loads this snapshot is intact, since no entry
// is recorded after the snapshot.
func (r *Registry) Close() error {
	r.closed.Store(true)
	return r.save(true)
}

// EntryCount returns the number of entries that this replica stores.
func (r *Registry) EntryCount() int64 {
	return r.entryCount.Load()
}

func (r *Registry) placement(database string) (lab.RegistryPlacement, bool) {
	d, ok := r.Catalog.Database(database)
	if !ok {
		return lab.RegistryPlacement{}, false
	}

	return d.Registry, true
}

func (r *Registry) shard(database string) *shard {
	return &r.shards[xxhash.Sum64String(database)%shards]
}

func (r *Registry) table(database string) *entryTable {
	s := r.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()

	t := s.tables[database]
	if t == nil {
		t = newEntryTable(&r.entryCount)
		s.tables[database] = t
	}

	return t
}

// Ready reports whether this process is a replica in a database's current placement and has all entries of earlier
// epochs.
func (r *Registry) Ready(database string) bool {
	p, ok := r.placement(database)
	t := r.table(database)
	t.lock.Lock()
	defer t.lock.Unlock()

	return ok && r.isIntactReplica(p) && t.completeEpoch == p.Epoch
}
