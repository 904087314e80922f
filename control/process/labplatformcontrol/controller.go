package labplatformcontrol

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labforwarder"
	"laburnumlock.dev/lab/control/process/labmemberlogs"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/process/labpositions"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/process/labsender"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/control/version/labgroupstate"
	"laburnumlock.dev/lab/process/labservicelist"
	"laburnumlock.dev/lab/process/labtransport"
)

// Timing and sizes of the consensus group. Control instances have a fraction of a core and may be 12 ms apart, so the
// election timeouts are longer than the defaults of labreplica.
const (
	electionMin = 400 * time.Millisecond
	electionMax = 800 * time.Millisecond
	heartbeat   = 80 * time.Millisecond
	// startupElectionMin is the lower bound of the election timeout after a restart. A round trip between regions takes
	// 24 ms. Every decision is confirmed by a round trip to a quorum, so a restarted instance needn't wait until the
	// leader's lease has expired.
	startupElectionMin = 120 * time.Millisecond
	groupTick          = 20 * time.Millisecond
	// snapshotEntries is the number of applied entries between two snapshots. Documents have up to 256 KiB, so the
	// journal stays far smaller than a small disk.
	snapshotEntries = 200
	trailingEntries = 8 // number of entries, mostly documents, kept in memory for instances that are slightly behind
	// sendTimeout is below the election timeout, so that an unresponsive connection is replaced in time.
	sendTimeout = 350 * time.Millisecond
	// diskRetryDelay is the time between two attempts to use a failing disk.
	diskRetryDelay = 300 * time.Millisecond
)

// Controller is one control instance. Its exported fields are set before Run.
type Controller struct {
	RegionByZone     map[string]string // name of the region by availability zone
	AvailabilityZone string            // availability zone of this instance

	Address         string          // host:port of the transport between processes
	Seeds           func() []string // returns the current seed addresses
	NewDeployment   bool            // true if the deployment starts for the first time
	ToleratedLosses int             // number of control instances that may be lost at the same time
	// CatchUpPeriod is the time after an instance's start after which another one may be lost; labvoters.DefaultCatchUpPeriod
	// if it is 0.
	CatchUpPeriod  time.Duration
	DataFolder     string
	QuotaTolerance lab.QuotaTolerance // what is tolerated beyond the rates and bursts of organisations

	Transport       *labtransport.Transport
	Clock           lab.Clock
	Random          lab.Random
	DocumentReader  lab.ConfigurationReader
	Dialer          lab.MemberDialer
	PromotionClient lab.PromotionClient
	Log             zerolog.Logger
	Counters        Counters

	registry             *labmembers.Registry
	currentParticipation atomic.Pointer[participation]
	epochBase            uint64        // random number of this run of the process; identifies its clock and, with the term, the leader
	startedAt            time.Duration // time when Prepare was called
	proxies              proxyRegistry
	positions            labpositions.Board
	serviceLists         labservicelist.Receiver // services whose positions the watching proxies need
	memberLogs           labmemberlogs.Ledger
	relay                *relay                  // answers watches while another instance is the leader
	forwarder            *labforwarder.Forwarder // sends announcements to another instance that is the leader
	permissions          permissions
	quota                *quota
	preparingPermissions atomic.Bool   // reconcilePermissions waits for the log of former leaders
	changeCount          atomic.Uint64 // number of calls of notifyWaiters
	leaderSeenAt         atomic.Int64  // time at which a leader was last known, in nanoseconds on Clock; at first that of the start

	memberLists memberLists
	proxyLists  packedList
	// proxyChanges are the changes of the list of proxies in this instance's view.
	proxyChanges packedChanges

	// Used by reconcile only.
	nextRemoval      time.Duration
	held             []string // result of heldServices, as of the next two revisions
	heldLayout       uint64
	heldHolders      uint64
	serviceMembers   []labmembers.Entry // buffer
	recordedRevision uint64             // revision of the registry when holders were last compared with it
	nextRecording    time.Duration
	nextRetirement   time.Duration
	unseenSince      map[labgroupstate.Holder]time.Duration // time since which no member is known at the holder's address
	unseenEpoch      uint64                                 // leader epoch of unseenSince

	recordingHolders atomic.Bool // a change of the holders is being recorded

	broadcasts    sync.Mutex // held while a broadcast is applied
	broadcastTerm uint64     // highest term of a broadcast

	missingSince map[string]time.Duration // by service, the time when it was first observed without a primary

	mutex             sync.Mutex
	lastContact       map[lab.InstanceID]time.Duration // by control instance, the time of its last message to this leader or the one before
	stoppedAt         map[lab.InstanceID]time.Duration // by control instance, the time of its last request with Stopping set
	zones             map[lab.InstanceID]string        // availability zones of the control instances that have joined this leader or the one before
	joinReports       labvoters.Reports                // join requests received from control instances
	verifying         map[string]bool                  // members with a contested announcement that was verified just now
	replacing         map[string]bool                  // services with a primary replacement in progress
	lastReplacements  map[string]replacementResult     // by service
	recoveredAt       map[string]time.Duration         // by service, the time of the last attempt to end an unfinished one
	waitingSince      map[string]time.Duration         // by service, the time since which no candidate was found
	configurationRead *lab.Configuration               // newest document, nil if it is unreadable
	readVersion       uint64                           // version of the document that was read last
	serviceNames      map[string]bool                  // services in configurationRead, nil if it names none
	// changed is closed and replaced after each change of the registry or the replicated state.
	changed chan struct{}
	// leaderChanged is closed and replaced after each change of the leader.
	leaderChanged chan struct{}
}

// participation is the state of this instance as a member of the control group under one identity. It begins when the
// journal is read.
type participation struct {
	identity    *identity
	state       *labgroupstate.State
	group       *labconsensus.Group // nil before Run
	removed     chan struct{}       // closed when the identity has been removed from the group
	removedOnce sync.Once           // ensures that removed is closed only once
}

func (k *Controller) participation() *participation {
	return k.currentParticipation.Load()
}

// Run takes part in the control group until the context ends, and then tells the other instances that this one stops. If
// the disk fails, Run starts again from the data on the disk, as a restarted process would.
func (k *Controller) Run(ctx context.Context) error {
	stopping := ctx

	ctx, cancel := context.WithCancel(context.WithoutCancel(stopping))
	defer cancel()

	defer context.AfterFunc(stopping, func() {
		defer cancel()

		k.announceStop(ctx)
	})()

	for ctx.Err() == nil {
		if err := k.runParticipation(ctx); err != nil && ctx.Err() == nil {
			k.Log.Error().Err(err).Msg("control_part_ended")

			_ = k.Clock.Sleep(ctx, diskRetryDelay) // returns early only when the context ends
		}
	}

	return nil
}

// Prepare initializes the controller and registers its transport methods. It is called once, before all other methods.
func (k *Controller) Prepare() {
	k.currentParticipation.Store(&participation{identity: &identity{}, state: &labgroupstate.State{}})
	k.epochBase, k.startedAt = k.Random.Uint64(), k.Clock.Now()
	k.leaderSeenAt.Store(int64(k.startedAt))
	k.changed, k.leaderChanged = make(chan struct{}), make(chan struct{})
	k.lastContact, k.zones = map[lab.InstanceID]time.Duration{}, map[lab.InstanceID]string{}
	k.stoppedAt = map[lab.InstanceID]time.Duration{}
	k.joinReports.MaxAge = joinReportMaxAge
	k.replacing, k.missingSince = map[string]bool{}, map[string]time.Duration{}
	k.lastReplacements = map[string]replacementResult{}
	k.recoveredAt, k.waitingSince = map[string]time.Duration{}, map[string]time.Duration{}
	k.registry = &labmembers.Registry{Clock: k.Clock, Changed: k.membersChanged}
	k.proxies.clock, k.memberLogs.Clock = k.Clock, k.Clock
	k.relay = newRelay(k)
	k.quota = newQuota(k)
	k.forwarder = &labforwarder.Forwarder{
		Window: forwardWindow, Spacing: forwardSpacing, Timeout: forwardTimeout - forwardWindow, Send: k.forwardAnnouncements,
	}
	k.loadLists()

	k.Transport.HandleCall(lab.MethodConsensus, k.handleConsensus)
	k.Transport.HandleCall(lab.MethodWatch, k.handleWatch)
	k.Transport.HandleCall(methodJoin, k.handleJoin)
	k.Transport.HandleCall(methodPut, k.handlePut)
	k.Transport.HandleCall(methodGet, k.handleGet)
	k.Transport.HandleCall(methodAnnounce, k.handleAnnounce)
	k.Transport.HandleCall(methodAnnounceAll, k.handleAnnounceAll)
	k.Transport.HandleCall(methodBroadcast, k.handleBroadcast)
	k.Transport.HandleCall(lab.MethodQuota, k.quota.handle)
	k.Transport.HandleCall(methodQuota, k.quota.handleControl)
}

// runParticipation takes part in the group under one identity until the context ends, the disk fails or the identity is
// removed from the group.
func (k *Controller) runParticipation(ctx context.Context) error {
	i, err := openIdentity(k.DataFolder, k.Address, k.NewDeployment && slices.Contains(k.Seeds(), k.Address), k.Random)
	if err != nil {
		return errors.Newf("open identity: %w", err)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	journal := i.journal()
	defer func() {
		if err := journal.Close(); err != nil {
			k.Log.Error().Err(err).Msg("journal_close_failed")
		}
	}()

	p := &participation{identity: i, state: &labgroupstate.State{Changed: k.notifyWaiters}, removed: make(chan struct{})}
	s := &labsender.Senders{Peers: k.Transport, Timeout: sendTimeout, Go: func(run func(context.Context)) { go run(ctx) }}
	g := &labconsensus.Group{
		ID: i.id, InitialVoters: k.initialVoters(i), Journal: journal, Clock: k.Clock, Random: k.Random,
		StateMachine: p.state, Log: k.Log,
		Send:        func(to lab.InstanceID, m labreplica.Message) { s.Send(labvoters.Address(to), m) },
		ElectionMin: electionMin, ElectionMax: electionMax, StartupElectionMin: startupElectionMin, Heartbeat: heartbeat,
		TickInterval: groupTick, SnapshotEntries: snapshotEntries, TrailingEntries: trailingEntries,
	}
	p.group = g
	k.currentParticipation.Store(p)
	k.Log.Info().Str("identity", string(i.id)).Bool("founder", i.initialVoter).Bool("fresh", i.fresh).Msg("control_started")

	e, ctx := errgroup.WithContext(ctx)
	e.Go(func() error { return g.Run(ctx) })
	e.Go(func() error { return k.reconcile(ctx) })
	e.Go(func() error { return k.join(ctx) })
	e.Go(func() error { return k.maintainVoters(ctx) })
	e.Go(func() error { return k.logLeadership(ctx, g) })
	e.Go(func() error { return k.broadcast(ctx) })
	e.Go(func() error { return k.relay.run(ctx) })
	e.Go(func() error { return k.quota.run(ctx) })
	e.Go(func() error { return k.persist(ctx) })
	e.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-p.removed:
			return errRemoved
		}
	})

	err = e.Wait()
	if errors.Is(err, errRemoved) {
		k.Log.Warn().Str("identity", string(i.id)).Msg("identity_removed")

		return i.discard()
	}

	return err
}

var errRemoved = errors.New("identity was removed from the control group")

// initialVoters returns the initial voters of the group if this instance is one of them, otherwise nil. They are the
// seeds, which are the same for all initial voters.
func (k *Controller) initialVoters(i *identity) []lab.InstanceID {
	if !i.initialVoter {
		return nil
	}

	var out []lab.InstanceID
	for _, s := range k.Seeds() {
		out = append(out, lab.InstanceID(s))
	}

	slices.Sort(out)

	return slices.Compact(out)
}

// logLeadership logs each change of the leader or the group's membership.
func (k *Controller) logLeadership(ctx context.Context, g *labconsensus.Group) error {
	var before string

	for k.Clock.Sleep(ctx, reconcileInterval) == nil {
		l, m := g.Leadership(), g.Membership()
		if l.Leader != "" {
			k.leaderSeenAt.Store(int64(k.Clock.Now()))
		}

		now := fmt.Sprint(l.Leader, l.Term, m)
		if now == before {
			continue
		}

		before = now

		k.notifyLeaderWaiters()

		k.Log.Info().Str("leader", string(l.Leader)).Bool("self", l.IsLeader).Uint64("term", l.Term).
			Uint64("applied", g.AppliedIndex()).Interface("voters", m.Voters).Interface("learners", m.Learners).Msg("leadership")
	}

	return nil
}

func (k *Controller) handleConsensus(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var b labsender.Batch
	if err := decode(&b); err != nil {
		return nil, err
	}

	g := k.participation().group
	if g == nil {
		return nil, lab.ErrNotLeader
	}

	for _, m := range b.Messages {
		k.recordContact(m.From)
		g.Deliver(m)
	}

	return struct{}{}, nil
}

func (k *Controller) recordContact(id lab.InstanceID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.lastContact[id] = k.Clock.Now()
}

// notifyWaiters wakes all goroutines that wait for a change.
func (k *Controller) notifyWaiters() {
	k.changeCount.Add(1)

	k.mutex.Lock()
	defer k.mutex.Unlock()

	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Controller) changes() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return k.changed
}

// Leading reports whether this instance is the leader and has recently heard from a quorum.
func (k *Controller) Leading() bool {
	return k.leadership().IsLeader
}

// leadership returns the current leader as known to this instance, and the zero value before it takes part in the group.
func (k *Controller) leadership() lab.Leadership {
	g := k.participation().group
	if g == nil {
		return lab.Leadership{}
	}

	return g.Leadership()
}

// leader returns the leader if it is known and is another instance.
func (k *Controller) leader() (lab.InstanceID, bool) {
	g := k.participation().group
	if g == nil {
		return "", false
	}

	l := g.Leadership().Leader

	return l, l != "" && l != k.participation().identity.id
}
