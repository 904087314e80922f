package labconsensus

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// Defaults of a Group's fields.
const (
	DefaultSnapshotEntries = 1000
	DefaultTickInterval    = 10 * time.Millisecond
)

// Limits of Run's goroutine.
const (
	messageQueueLength = 4096 // maximum number of queued messages from other instances
	requestQueueLength = 1024 // maximum number of queued requests of this instance
	maxBatchInputs     = 1024 // maximum number of messages and requests that are handled before the journal is synced
)

// Group runs this instance's replica of the consensus group. It implements lab.ReplicatedLog.
type Group struct {
	ID lab.InstanceID
	// InitialVoters are the voters of a new group. They are used only while the journal is empty. An instance that joins
	// an existing group has none. An instance that lost its disk must not have any either, because it forgot its vote.
	InitialVoters []lab.InstanceID
	// BeforeBootstrap is called before the initial voters are stored. An error from it prevents the start of a new group.
	// A nil function always permits the start.
	BeforeBootstrap func(ctx context.Context) error
	Journal         lab.Journal // closed by the caller after Run
	Clock           lab.Clock
	Random          lab.Random
	StateMachine    lab.StateMachine // called by Run's goroutine only
	// Send sends a message to another instance and may drop it. It is called by Run's goroutine and must not block.
	Send func(to lab.InstanceID, message labreplica.Message)
	Log  zerolog.Logger // logs steps that delay heartbeats and elections; optional

	ElectionMin        time.Duration // lower bound of the election timeout
	ElectionMax        time.Duration // upper bound of the election timeout
	StartupElectionMin time.Duration // replaces ElectionMin until the first contact with a leader; see labreplica.Replica
	Heartbeat          time.Duration // interval of the leader's heartbeats
	TickInterval       time.Duration // interval at which timeouts are checked
	SnapshotEntries    uint64        // number of applied entries between snapshots
	TrailingEntries    uint64        // number of entries before a snapshot that stay in memory, for peers slightly behind

	once     sync.Once
	messages chan labreplica.Message // queued messages from other instances
	requests chan request            // queued requests of this instance
	stopped  chan struct{}           // closed when Run ends
	status   atomic.Pointer[groupStatus]
	step     atomic.Pointer[runningStep] // step that Run's goroutine executes; nil for none

	replica       *labreplica.Replica
	snapshotIndex uint64            // index of the latest snapshot
	waiters       map[uint64]waiter // waiting proposals and membership changes, by log index
	barriers      map[uint64]waiter // waiting barriers, by barrier identifier
}

var _ lab.ReplicatedLog = (*Group)(nil)

// initialize creates the queues and sets defaults. It may be called several times and from any goroutine.
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

// Run takes part in the group until the context ends and then returns nil. It is called once.
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

	// The initial voters are stored, so that a later change of the settings cannot contradict the log.
	if len(g.InitialVoters) > 0 &&
		snapshot.Index == 0 && len(snapshot.Voters) == 0 && len(entries) == 0 && state.Term == 0 {
		if err := g.beforeBootstrap(ctx); err != nil {
			return errors.Newf("start new group: %w", err)
		}

		snapshot.Voters = g.InitialVoters
		if err := g.Journal.SaveSnapshot(snapshot); err != nil {
			return errors.Newf("store initial voters: %w", err)
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

// loop handles ticks, messages and requests in batches. All proposals of a batch share one sync of the journal.
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

		if err := g.measure("handle", g.handleQueued); err != nil {
			return errors.Newf("process message: %w", err)
		}

		g.replica.Tick(g.Clock.Now())

		if err := g.flush(); err != nil {
			return err
		}
	}
}

// handleQueued handles the messages and requests that are already queued, up to maxBatchInputs.
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

// Deliver queues a message from another instance. It does not block. When the queue is full, the message is dropped,
// which the consensus algorithm tolerates like a loss on the network.
func (g *Group) Deliver(message labreplica.Message) {
	g.initialize()

	select {
	case g.messages <- message:
	default:
	}
}
