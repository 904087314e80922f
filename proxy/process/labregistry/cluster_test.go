package labregistry_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labregistry"
)

const database = "rota"

var errUnreachable = errors.New("unreachable")

// tester is the interface that testing.T and rapid.T share.
type tester interface {
	Helper()
	Log(...any)
	FailNow()
	Fail()
}

// fakeClock is a simulated clock; Sleep advances it and returns at once.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) Now() time.Duration { return time.Duration(c.now.Load()) }
func (c *fakeClock) Wall() time.Time    { return time.Time{} }

func (c *fakeClock) Sleep(ctx context.Context, d time.Duration) error {
	c.now.Add(int64(d))
	return ctx.Err()
}

type fakeRandom struct{}

func (fakeRandom) Uint64() uint64 { return rand.Uint64() }

// process is one simulated process, and its catalog. A restart replaces its registry.
type process struct {
	lock           sync.Mutex
	self           lab.Instance
	registry       *labregistry.Registry
	folder         string
	limit          int64                   // maximum number of entries; the default when zero
	isolated       bool                    // calls from and to this process fail
	completedCalls atomic.Int64            // number of completed calls to this process
	substitute     atomic.Pointer[process] // process that responds at this process's address instead; nil when none
	placement      atomic.Pointer[lab.Database]
}

func (n *process) Database(string) (*lab.Database, bool) {
	d := n.placement.Load()
	return d, d != nil
}

func (n *process) Organisation(string) (*lab.Organisation, bool) { return nil, false }
func (n *process) Version() (version, index uint64)              { return 0, 0 }

func (n *process) isIsolated() bool {
	n.lock.Lock()
	defer n.lock.Unlock()

	return n.isolated
}

// cluster connects processes by calls that are encoded and decoded as on the network.
type cluster struct {
	clock     *fakeClock
	processes map[string]*process
	epoch     uint64
	former    [][]lab.Instance // replicas of earlier epochs, latest first
	jitter    time.Duration    // upper bound of the delay before each call and each response
}

func (c *cluster) delay() {
	if c.jitter > 0 {
		time.Sleep(rand.N(c.jitter))
	}
}

type fakePeers struct {
	cluster *cluster
	from    *process
}

func (p *fakePeers) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errUnreachable
}

func (p *fakePeers) Call(ctx context.Context, address string, _ lab.Method, request, response any) error {
	p.cluster.delay()

	n := p.cluster.processes[address]
	if n != nil {
		defer n.completedCalls.Add(1)

		if s := n.substitute.Load(); s != nil {
			n = s
		}
	}

	if n == nil || n.isIsolated() || p.from.isIsolated() {
		return errUnreachable
	}

	sent, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Newf("encode: %w", err)
	}

	n.lock.Lock()
	registry := n.registry
	n.lock.Unlock()

	handled, err := registry.Handle(ctx, "", func(into any) error { return msgpack.Unmarshal(sent, into) })
	if err != nil {
		return errors.Newf("handle: %w", err)
	}

	p.cluster.delay()

	// A response is lost if either process was isolated before it arrives.
	if n.isIsolated() || p.from.isIsolated() {
		return errUnreachable
	}

	reply, err := msgpack.Marshal(handled)
	if err != nil {
		return errors.Newf("encode: %w", err)
	}

	return msgpack.Unmarshal(reply, response)
}

// newCluster starts the registry replicas h1 to h5 in three availability zones, and the gateways g and g2.
func newCluster(t tester, configure func(*process)) *cluster {
	t.Helper()

	c := &cluster{clock: &fakeClock{}, processes: map[string]*process{}}

	for i, id := range []string{"h1", "h2", "h3", "h4", "h5", "g", "g2"} {
		n := &process{self: lab.Instance{
			ID: lab.InstanceID(id), Address: id, AvailabilityZone: string(rune('a' + i%3)),
		}}
		c.processes[id] = n

		if configure != nil {
			configure(n)
		}

		c.restart(t, id)
	}

	return c
}

// restart starts the next incarnation of a process. Its data folder is kept, its entries in memory are lost.
func (c *cluster) restart(t tester, id string) {
	t.Helper()

	n := c.processes[id]
	n.self.Incarnation++

	r := &labregistry.Registry{
		Self: n.self, Catalog: n, Peers: &fakePeers{c, n}, Clock: c.clock, Random: fakeRandom{},
		Folder: n.folder, MaxEntries: n.limit, CallTimeout: 5 * time.Second,
	}
	assert.NilError(t, r.Open())

	n.lock.Lock()
	defer n.lock.Unlock()

	n.registry, n.isolated = r, false
}

func (c *cluster) isolate(ids ...string) {
	for _, id := range ids {
		n := c.processes[id]
		n.lock.Lock()
		n.isolated = true
		n.lock.Unlock()
	}
}

func (c *cluster) reconnect(ids ...string) {
	for _, id := range ids {
		n := c.processes[id]
		n.lock.Lock()
		n.isolated = false
		n.lock.Unlock()
	}
}

// changePlacement puts a placement with the next epoch and the named replicas into the catalogs of all processes.
func (c *cluster) changePlacement(ids ...string) {
	c.epoch++

	d := &lab.Database{Name: database, Registry: lab.RegistryPlacement{Epoch: c.epoch}}
	for _, id := range ids {
		d.Registry.Replicas = append(d.Registry.Replicas, c.processes[id].self)
	}

	d.Registry.FormerReplicas = c.former
	c.former = append([][]lab.Instance{d.Registry.Replicas}, c.former...)
	c.former = c.former[:min(len(c.former), lab.MaxFormerEpochs)]

	for _, n := range c.processes {
		n.placement.Store(d)
	}
}

// reconcileUntilReady reconciles all processes with their placements until the named replicas are ready.
func (c *cluster) reconcileUntilReady(t tester, ids ...string) {
	t.Helper()

	for end := time.Now().Add(5 * time.Second); ; {
		c.reconcile()

		ready := true
		for _, id := range ids {
			ready = ready && c.processes[id].registry.Ready(database)
		}

		if ready {
			return
		}

		assert.Assert(t, time.Now().Before(end), "replicas %v not ready under epoch %d", ids, c.epoch)
		time.Sleep(100 * time.Microsecond)
	}
}

func (c *cluster) reconcile() {
	for _, n := range c.processes {
		if !n.isIsolated() {
			n.registry.Reconcile(context.Background())
		}
	}
}

func (c *cluster) reserve(gateway, key string) (lab.IdempotencyRecord, error) {
	return c.processes[gateway].registry.Reserve(context.Background(), "org", database, key, 0)
}

func (c *cluster) resolve(gateway, key string, record lab.IdempotencyRecord) error {
	return c.processes[gateway].registry.Resolve(context.Background(), "org", database, key, record)
}

func assertState(t *testing.T, c *cluster, gateway, key string, want lab.IdempotencyState) lab.IdempotencyRecord {
	t.Helper()

	r, err := c.reserve(gateway, key)
	assert.NilError(t, err)
	assert.Equal(t, r.State, want)

	return r
}

func assertNotRun(t *testing.T, err error, reason string) {
	t.Helper()

	outcome, got := lab.OutcomeOf(err)
	assert.Assert(t, err != nil)
	assert.Equal(t, outcome, lab.OutcomeNotRun)
	assert.Equal(t, got, reason)
}
