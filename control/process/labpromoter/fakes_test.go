package labpromoter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpromoter"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

var (
	errDown    = errors.New("down")
	errEndless = errors.New("steps don't end")
)

// node is one member's state.
type node struct {
	up       bool
	recovery bool
	at       lab.WALPosition
	replayed lab.WALPosition // switch point once promoted
}

// cluster answers probes of one database's members.
type cluster struct {
	lock     sync.Mutex
	nodes    map[string]*node
	promoted []string
}

func (c *cluster) Status(_ context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := c.nodes[m.Member]
	if !n.up {
		return lab.MemberStatus{}, errDown
	}

	return lab.MemberStatus{InRecovery: n.recovery, Received: n.at, Replayed: n.at}, nil
}

func (c *cluster) Promote(ctx context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	if _, err := c.Status(ctx, m); err != nil {
		return lab.MemberStatus{}, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	n := c.nodes[m.Member]
	if n.recovery {
		n.recovery = false
		for _, o := range c.nodes { // replicas fetch the timeline history from the primary they stream from
			n.at.Term = max(n.at.Term, o.at.Term)
		}
		n.at.Term++
		n.replayed = n.at
		c.promoted = append(c.promoted, m.Member)
	}

	return lab.MemberStatus{Received: n.at, Replayed: n.replayed}, nil
}

type random struct{}

func (random) Uint64() uint64 { return 7 }

// world is one database with a gateway in the primary's region; leaders can be replaced at any commit.
type world struct {
	t           *testing.T
	now         time.Duration
	catalog     *labcatalog.Catalog
	index       uint64
	cluster     *cluster
	promoter    *labpromoter.Promoter
	writesEnded bool
	commits     int
	deposed     error // what a barrier returns
	dieBefore   int   // commit before which the leader dies, 0 for never
	dieAfter    int   // commit after which the leader dies
}

const database = "rota-core-1"

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: time.Minute, catalog: labcatalog.New(), writesEnded: true, cluster: &cluster{nodes: map[string]*node{
		"m1": {up: true, at: lab.WALPosition{Term: 1, Offset: 100}},
		"m2": {up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 90}},
		"m3": {up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 100}},
	}}}
	for _, m := range []string{"m1", "m2", "m3"} {
		w.announce(lab.Announcement{Database: database, Member: m, Address: m, Region: "gulf-coast", Incarnation: 1})
	}
	w.apply(&labcatalog.Command{Joined: []lab.Instance{{ID: "gateway", Incarnation: 1, Region: "gulf-coast", Address: "g"}}})
	w.apply(&labcatalog.Command{Placements: []labcatalog.PlacementSet{
		{Duty: lab.GatewayRole{Database: database, Region: "gulf-coast"}, Instance: "gateway"},
	}})
	w.lead()

	return w
}

func (w *world) announce(a lab.Announcement) {
	w.apply(&labcatalog.Command{Members: []lab.Announcement{a}})
}

func (w *world) apply(c *labcatalog.Command) labcatalog.Result {
	data, err := c.Encode()
	assert.NilError(w.t, err)
	w.index++
	r, ok := w.catalog.Apply(w.index, data).(labcatalog.Result)
	assert.Assert(w.t, ok)

	return r
}

// lead replaces the leader by one that knows nothing but the catalog.
func (w *world) lead() {
	w.promoter = &labpromoter.Promoter{
		Catalog: w.catalog, Prober: w.cluster, Clock: w, Random: random{}, Logger: zerolog.Nop(),
		WritesEnded: func(string) bool { return w.writesEnded },
		Barrier:     func(context.Context) error { return w.deposed },
		Propose: func(_ context.Context, c *labcatalog.Command) (labcatalog.Result, error) {
			w.commits++
			if w.commits == w.dieBefore {
				return labcatalog.Result{}, lab.ErrNotLeader
			}
			r := w.apply(c)
			if w.commits == w.dieAfter {
				return labcatalog.Result{}, lab.ErrOutcomeUnknown
			}

			return r, nil
		},
	}
}

func (w *world) Now() time.Duration { return w.now }

func (w *world) Wall() time.Time { return time.UnixMilli(0) }

func (w *world) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// step takes steps until one makes no progress and returns its error.
func (w *world) step() error {
	for range 20 {
		progress, err := w.promoter.Step(context.Background(), w.now, database)
		if errors.Is(err, lab.ErrNotLeader) || errors.Is(err, lab.ErrOutcomeUnknown) {
			w.lead()
			w.lost("m1", time.Second) // gateways report again to a new leader

			continue
		}
		if !progress {
			return err
		}
	}

	return errEndless
}

func (w *world) lost(member string, since time.Duration) {
	w.promoter.Observe(w.now, "gateway", lab.MemberStatus{Database: database, Member: member, UnreachableFor: since})
}

// fail stops a member and has the gateway report it.
func (w *world) fail(member string) {
	w.cluster.nodes[member].up = false
	w.lost(member, time.Second)
}

func (w *world) database() *lab.Database {
	d, _ := w.catalog.Database(database)

	return d
}

func (w *world) primary(name string, term lab.PrimaryTerm) {
	w.t.Helper()
	assert.Equal(w.t, w.database().Primary, name)
	assert.Equal(w.t, w.database().CurrentTerm(), term)
}
