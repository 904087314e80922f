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
	DefaultSnapshotEvery = 1000
	DefaultTickInterval  = 10 * time.Millisecond
)

// Lengths of the queues into the loop.
const (
	messageQueue = 4096
	callQueue    = 1024
	batchLimit   = 1024 // inputs handled before the next sync
)

// Group is this instance's member of the consensus group; it implements lab.ReplicatedLog.
type Group struct {
	ID lab.InstanceID
	// Voters are the first voters of a new group, used while the journal is empty. An instance that joins has none; nor
	// may one that lost its disk start with them, since it forgot its vote.
	Voters []lab.InstanceID
	// Found runs before the first voters are stored and may refuse to found the group; nil permits it.
	Found   func(ctx context.Context) error
	Journal lab.Journal // closed by the caller after Run
	Clock   lab.Clock
	Random  lab.Random
	Machine lab.StateMachine // called by Run's goroutine
	// Send passes a message on and may drop it; it is called by Run's goroutine and must not block.
	Send func(to lab.InstanceID, message labreplica.Message)

	ElectionMin   time.Duration // lower bound of the election timeout
	ElectionMax   time.Duration // upper bound of the election timeout
	Rejoin        time.Duration // lower bound of the election timeout until a leader is heard; see labreplica.Replica
	Heartbeat     time.Duration // interval of the leader's heartbeats
	TickInterval  time.Duration // resolution of the timeouts
	SnapshotEvery uint64        // applied entries between snapshots
	Trailing      uint64        // entries kept in memory before a snapshot, for members slightly behind

	once     sync.Once
	messages chan labreplica.Message
	calls    chan call
	stopped  chan struct{}
	view     atomic.Pointer[view]

	replica     *labreplica.Replica
	snapshotted uint64
	waiters     map[uint64]waiter
	barriers    map[uint64]waiter
}

var _ lab.ReplicatedLog = (*Group)(nil)

func (g *Group) prepare() {
	g.once.Do(func() {
		g.messages = make(chan labreplica.Message, messageQueue)
		g.calls = make(chan call, callQueue)
		g.stopped = make(chan struct{})
		g.waiters = map[uint64]waiter{}
		g.barriers = map[uint64]waiter{}

		if g.TickInterval == 0 {
			g.TickInterval = DefaultTickInterval
		}

		if g.SnapshotEvery == 0 {
			g.SnapshotEvery = DefaultSnapshotEvery
		}
	})
}

// Run takes part in the group until the context ends, which is no error; it is called once.
func (g *Group) Run(ctx context.Context) error {
	g.prepare()

	defer close(g.stopped)
	defer g.view.Store(&view{})

	if err := g.start(ctx); err != nil {
		return errors.Newf("start consensus: %w", err)
	}

	ctx, cancel := context.WithCancel(ctx)
	ticks := make(chan struct{}, 1)
	ended := make(chan struct{})

	go g.tick(ctx, ticks, ended)

	err := g.loop(ctx, ticks)

	cancel()
	<-ended

	return err
}

func (g *Group) start(ctx context.Context) error {
	state, snapshot, entries, err := g.Journal.Load()
	if err != nil {
		return errors.Newf("load journal: %w", err)
	}

	// The first voters are stored, so that later changes of the settings cannot contradict the log.
	if len(g.Voters) > 0 && snapshot.Index == 0 && len(snapshot.Voters) == 0 && len(entries) == 0 && state.Term == 0 {
		if err := g.found(ctx); err != nil {
			return errors.Newf("found group: %w", err)
		}

		snapshot.Voters = g.Voters
		if err := g.Journal.SaveSnapshot(snapshot); err != nil {
			return errors.Newf("store first voters: %w", err)
		}
	}

	if snapshot.Index > 0 {
		if err := g.Machine.Restore(snapshot.Data); err != nil {
			return errors.Newf("restore snapshot %d: %w", snapshot.Index, err)
		}
	}

	g.snapshotted = snapshot.Index
	g.replica = &labreplica.Replica{
		ID: g.ID, Random: g.Random, ElectionMin: g.ElectionMin, ElectionMax: g.ElectionMax,
		Rejoin: g.Rejoin, Heartbeat: g.Heartbeat, Trailing: g.Trailing,
	}

	if err := g.replica.Start(g.Clock.Now(), state, snapshot, entries); err != nil {
		return errors.Newf("start replica: %w", err)
	}

	g.publish()

	return nil
}

func (g *Group) found(ctx context.Context) error {
	if g.Found == nil {
		return nil
	}

	return g.Found(ctx)
}

func (g *Group) tick(ctx context.Context, ticks chan<- struct{}, ended chan<- struct{}) {
	defer close(ended)

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
		case c := <-g.calls:
			g.handle(c)
		}

		if err := g.drain(); err != nil {
			return errors.Newf("process message: %w", err)
		}

		g.replica.Tick(g.Clock.Now())

		if err := g.flush(); err != nil {
			return err
		}
	}
}

func (g *Group) drain() error {
	for range batchLimit {
		select {
		case m := <-g.messages:
			if err := g.replica.Step(g.Clock.Now(), m); err != nil {
				return err
			}
		case c := <-g.calls:
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
	g.prepare()

	select {
	case g.messages <- message:
	default:
	}
}
