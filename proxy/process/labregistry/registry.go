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
	defaultLimit            = 400_000 // names; about 60 MB
	defaultCallTimeout      = time.Second
	defaultSnapshotInterval = 30 * time.Second
	maxNameBytes            = 256
	maxTagBytes             = 64
	// quorum is how many holders must record a name.
	quorum    = 2
	shards    = 16
	watchPace = time.Second
)

// Registry reserves names for this process and holds names for others. It implements lab.IdempotencyRegistry, and its Handle
// method is the lab.CallHandler of lab.MethodRegistry. Exported fields are set before Open.
type Registry struct {
	Self             lab.Instance
	Routes           lab.Catalog
	Peers            lab.PeerClient
	Clock            lab.Clock
	Random           lab.Random
	Folder           string        // where snapshots are kept; no snapshots when empty
	Retention        time.Duration // for names without one; 24 h when zero
	MaxRetention     time.Duration // bound of any retention; 7 days when zero
	Limit            int64         // names held at most; 400,000 when zero
	CallTimeout      time.Duration // of each call to a holder; 1 s when zero
	SnapshotInterval time.Duration // 30 s when zero
	Failed           func(error)   // told of a periodic snapshot that was not written; may be nil

	count  atomic.Int64
	closed atomic.Bool
	saving sync.Mutex
	intact []uint64 // incarnations since which the memory is intact
	shards [shards]shard
}

// shard holds the books and the reservations of some databases.
type shard struct {
	lock  sync.Mutex
	books map[string]*book
	held  map[heldKey]heldToken
}

type heldKey struct {
	database string
	key      string
}

// heldToken is a reservation of this process that is not resolved yet.
type heldToken struct {
	token     token
	retention time.Duration
	expiry    time.Duration
}

var _ lab.IdempotencyRegistry = (*Registry)(nil)

// Open loads the snapshot, if there is one. It must be called before anything else.
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

	if r.Limit == 0 {
		r.Limit = defaultLimit
	}

	r.intact = []uint64{r.Self.Incarnation}

	for i := range r.shards {
		r.shards[i].books = map[string]*book{}
		r.shards[i].held = map[heldKey]heldToken{}
	}

	return r.load()
}

// Run repairs books after placement changes and writes snapshots until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	written := r.Clock.Now()

	for r.Clock.Sleep(ctx, watchPace) == nil {
		r.Check(ctx)

		if r.Clock.Now()-written < r.SnapshotInterval {
			continue
		}

		written = r.Clock.Now()

		// A full disk does not stop the registry; the next interval tries again.
		if err := r.save(false); err != nil && r.Failed != nil {
			r.Failed(err)
		}
	}

	return nil
}

// Check compares all books with the placements in force and starts the transfers that are needed.
func (r *Registry) Check(ctx context.Context) {
	for i := range r.shards {
		s := &r.shards[i]
		s.lock.Lock()

		names := make([]string, 0, len(s.books))
		for d := range s.books {
			names = append(names, d)
		}

		s.lock.Unlock()

		for _, d := range names {
			r.follow(ctx, d)
		}
	}
}

// follow brings the book of one database to the placement in force.
func (r *Registry) follow(ctx context.Context, database string) {
	p, ok := r.placement(database)
	b := r.book(database)
	b.lock.Lock()
	defer b.lock.Unlock()

	now := r.Clock.Now()
	b.expire(now)

	if ok {
		b.learn(now, p)
	}

	r.fill(ctx, database, b)
}

// Close refuses further calls and writes a snapshot from which the next life of this holder has its memory intact.
func (r *Registry) Close() error {
	r.closed.Store(true)
	return r.save(true)
}

// Names returns how many names this holder keeps.
func (r *Registry) Names() int64 {
	return r.count.Load()
}

func (r *Registry) placement(database string) (lab.RegistryPlacement, bool) {
	d, ok := r.Routes.Database(database)
	if !ok {
		return lab.RegistryPlacement{}, false
	}

	return d.Registry, true
}

func (r *Registry) shard(database string) *shard {
	return &r.shards[xxhash.Sum64String(database)%shards]
}

func (r *Registry) book(database string) *book {
	s := r.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()

	b := s.books[database]
	if b == nil {
		b = newBook(&r.count)
		s.books[database] = b
	}

	return b
}

// Ready reports whether this process holds a database's names under the placement in force and has all earlier ones.
func (r *Registry) Ready(database string) bool {
	p, ok := r.placement(database)
	b := r.book(database)
	b.lock.Lock()
	defer b.lock.Unlock()

	return ok && r.listed(p) && b.complete == p.Epoch
}
