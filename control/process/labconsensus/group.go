package labconsensus

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// Defaults of a Group's fields.
const (
	DefaultSnapshotEntries = 1000
	DefaultTickInterval    = 10 * time.Millisecond
)

// Lengths of the queues into the loop.
const (
	messageQueueLength = 4096
	requestQueueLength = 1024
	maxBatchInputs     = 1024 // inputs handled before the next sync
)

// Group is this instance's member of the consensus group; it implements lab.ReplicatedLog.
type Group struct {
	ID lab.InstanceID
	// InitialVoters are the first voters of a new group, used while the journal is empty. An instance that joins has none; nor
	// may one that lost its disk start with them, since it forgot its vote.
	InitialVoters []lab.InstanceID
	// BeforeBootstrap runs before the first voters are stored and may refuse to found the group; nil permits it.
	BeforeBootstrap func(ctx context.Context) error
	Journal         lab.Journal // closed by the caller after Run
	Clock           lab.Clock
	Random          lab.Random
	StateMachine    lab.StateMachine // called by Run's goroutine
	// Send passes a message on and may drop it; it is called by Run's goroutine and must not block.
	Send func(to lab.InstanceID, message labreplica.Message)

	ElectionMin        time.Duration // lower bound of the election timeout
	ElectionMax        time.Duration // upper bound of the election timeout
	StartupElectionMin time.Duration // lower bound of the election timeout until a leader is heard; see labreplica.Replica
	Heartbeat          time.Duration // interval of the leader's heartbeats
	TickInterval       time.Duration // resolution of the timeouts
	SnapshotEntries    uint64        // applied entries between snapshots
	TrailingEntries    uint64        // entries kept in memory before a snapshot, for members slightly behind

	once     sync.Once
	messages chan labreplica.Message
	requests chan request
	stopped  chan struct{}
	status   atomic.Pointer[groupStatus]

	replica       *labreplica.Replica
	snapshotIndex uint64
	waiters       map[uint64]waiter
	barriers      map[uint64]waiter
}

var _ lab.ReplicatedLog = (*Group)(nil)

func (g *Group) initialize() {
	g.once.Do(func() {
		g.messages = make(chan labreplica.Message, messageQueueLength)
		g.requests = make(chan request, requestQueueLength)
		g.stopped = make(chan struct{})
		g.waiters = map[uint64]waiter{}
		g.barriers = map[uint64]waiter{}

		if g.TickInterval == 0 {
			g.TickInterval = DefaultTickInterval
		}

		if g.SnapshotEntries == 0 {
			g.SnapshotEntries = DefaultSnapshotEntries
		}
	})
}

// Run takes part in the group until the context ends, which is no error; it is called once.
func (g *Group) Run(ctx context.Context) error {
	g.initialize()

	defer close(g.stopped)
	defer g.status.Store(&groupStatus{})

	if err := g.start(ctx); err != nil {
		return errors.Newf("start consensus: %w", err)
	}

	ctx, cancel := context.WithCancel(ctx)
	ticks := make(chan struct{}, 1)
	tickerDone := make(chan struct{})

	go g.tick(ctx, ticks, tickerDone)

	err := g.loop(ctx, ticks)

	cancel()
	<-tickerDone

	return err
}

func (g *Group) start(ctx context.Context) error {
	state, snapshot, entries, err := g.Journal.Load()
	if err != nil {
		return errors.Newf("load journal: %w", err)
	}

	// The first voters are stored, so that later changes of the settings cannot contradict the log.
	if len(g.InitialVoters) > 0 && snapshot.Index == 0 && len(snapshot.Voters) == 0 && len(entries) == 0 && state.Term == 0 {
		if err := g.beforeBootstrap(ctx); err != nil {
			return errors.Newf("found group: %w", err)
		}

		snapshot.Voters = g.InitialVoters
		if err := g.Journal.SaveSnapshot(snapshot); err != nil {
			return errors.Newf("store first voters: %w", err)
		}
	}

	if snapshot.Index > 0 {
		if err := g.StateMachine.Restore(snapshot.Data); err != nil {
			return errors.Newf("restore snapshot %d: %w", snapshot.Index, err)
		}
	}

	g.snapshotIndex = snapshot.Index
	g.replica = &labreplica.Replica{
		ID: g.ID, Random: g.Random, ElectionMin: g.ElectionMin, ElectionMax: g.ElectionMax,
		StartupElectionMin: g.StartupElectionMin, Heartbeat: g.Heartbeat, TrailingEntries: g.TrailingEntries,
	}

	if err := g.replica.Start(g.Clock.Now(), state, snapshot, entries); err != nil {
		return errors.Newf("start replica: %w", err)
	}

	g.publish()

	return nil
}

func (g *Group) beforeBootstrap(ctx context.Context) error {
	if g.BeforeBootstrap == nil {
		return nil
	}

	return g.BeforeBootstrap(ctx)
}

func (g *Group) tick(ctx context.Context, ticks chan<- struct{}, done chan<- struct{}) {
	defer close(done)

	for g.Clock.Sleep(ctx, g.TickInterval) == nil {
		select {
		case ticks <- struct{}{}:
		default:
		}
	}
}

// loop handles inputs in batches; all proposals of a batch share one sync.
func (g *Group) loop(ctx context.Context, ticks <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case m := <-g.messages:
			if err := g.replica.Step(g.Clock.Now(), m); err != nil {
				return errors.Newf("process message: %w", err)
			}
		case c := <-g.requests:
			g.handle(c)
		}

		if err := g.handleQueued(); err != nil {
			return errors.Newf("process message: %w", err)
		}

		g.replica.Tick(g.Clock.Now())

		if err := g.flush(); err != nil {
			return err
		}
	}
}

func (g *Group) handleQueued() error {
	for range maxBatchInputs {
		select {
		case m := <-g.messages:
			if err := g.replica.Step(g.Clock.Now(), m); err != nil {
				return err
			}
		case c := <-g.requests:
			g.handle(c)
		default:
			return nil
		}
	}

	return nil
}

// Deliver hands over a message from another instance. It does not block; a message that finds the queue full is
// dropped, which consensus tolerates like a loss on the network.
func (g *Group) Deliver(message labreplica.Message) {
	g.initialize()

	select {
	case g.messages <- message:
	default:
	}
}
