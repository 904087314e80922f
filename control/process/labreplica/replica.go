package labreplica

import (
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Defaults of a Replica's fields.
const (
	DefaultElectionMin     = 300 * time.Millisecond
	DefaultElectionMax     = 600 * time.Millisecond
	DefaultHeartbeat       = 60 * time.Millisecond
	DefaultBatchBytes      = 256 << 10
	DefaultChunkBytes      = 256 << 10 // takes 70 ms on a region link of 30 Mbit/s
	DefaultWindow          = 16
	DefaultSnapshotRetry   = 500 * time.Millisecond // well above the 70 ms a chunk takes plus the round trip
	DefaultTrailingEntries = 1000
	DefaultMaxPromotionLag = 64
)

// Errors of a Replica.
var (
	// ErrChangePending is returned while an earlier membership change or the leader's first entry is uncommitted.
	ErrChangePending = errors.New("earlier membership change is not committed")
	// ErrLearnerBehind is returned for the promotion of a learner that has not caught up.
	ErrLearnerBehind = errors.New("learner has not caught up")
	// ErrUnsafeChange is returned for a membership change that would leave no reachable quorum.
	ErrUnsafeChange = errors.New("membership change would leave no reachable quorum")
	// ErrProtocol is returned when a message contradicts what is committed; the replica must stop.
	ErrProtocol = errors.New("message violates the protocol")
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Replica is one member of a consensus group. Its methods must not be called concurrently.
type Replica struct {
	ID          lab.InstanceID
	Random      lab.Random
	ElectionMin time.Duration // lower bound of the election timeout, and how long a leader counts as heard from
	ElectionMax time.Duration // upper bound of the election timeout
	// StartupElectionMin replaces the lower bound of the election timeout until a leader is heard after the start; ElectionMin when 0.
	// It may be shorter only where nothing trusts a leader that has not confirmed its leadership with a round.
	StartupElectionMin time.Duration
	Heartbeat          time.Duration // interval of the leader's heartbeats
	BatchBytes         int           // bytes of entries per message
	ChunkBytes         int           // bytes of snapshot data per message
	Window             int           // unanswered appends per member
	SnapshotRetry      time.Duration // after which an unanswered chunk is sent again
	TrailingEntries    uint64        // entries kept in memory before a snapshot, for members slightly behind
	MaxPromotionLag    uint64        // entries a learner may be behind when it is promoted

	now               time.Duration
	role              role
	hardState         lab.HardState
	outputState       lab.HardState
	leaderID          lab.InstanceID
	electionDeadline  time.Duration
	lastLeaderContact time.Duration // when the leader was last heard from
	leaderObserved    bool          // a leader has been heard from since the start
	votes             map[lab.InstanceID]bool

	log          entryLog
	commitIndex  uint64
	appliedIndex uint64
	memberships  []indexedMembership
	snapshot     lab.LogSnapshot
	installed    *lab.LogSnapshot
	incoming     *incomingSnapshot

	peers         []*progress
	electedAt     time.Duration
	termStart     uint64 // index of the first entry of the leader's term
	nextHeartbeat time.Duration
	heartbeatDue  bool
	round         uint64
	barrierRound  uint64 // latest round started for a barrier
	barriers      []barrier
	lastBarrierID uint64

	immediateMessages []Message
	messages          []Message
	confirmedBarriers []uint64
}

// Start sets what was persisted; it is called once, before all other methods.
func (r *Replica) Start(now time.Duration, state lab.HardState, snapshot lab.LogSnapshot, entries []lab.LogEntry) error {
	r.setDefaults()
	r.now, r.hardState, r.outputState = now, state, state
	r.snapshot = snapshot
	r.commitIndex, r.appliedIndex = snapshot.Index, snapshot.Index
	r.log.reset(snapshot.Index, snapshot.Term)
	r.memberships = []indexedMembership{{snapshot.Index, snapshotMembership(snapshot)}}

	if err := r.restoreEntries(entries); err != nil {
		return err
	}

	// A vote right after a restart could contradict the promise made to a leader heard just before it.
	r.lastLeaderContact = now + r.StartupElectionMin - r.ElectionMin
	r.resetElectionDeadline()

	return nil
}

func (r *Replica) restoreEntries(entries []lab.LogEntry) error {
	for _, e := range entries {
		if e.Index != r.log.lastIndex()+1 {
			return errors.Newf("stored entry %d follows %d", e.Index, r.log.lastIndex())
		}

		if err := r.appendEntry(e); err != nil {
			return err
		}
	}

	r.log.outputIndex, r.log.persistedIndex = r.log.lastIndex(), r.log.lastIndex()

	return nil
}

func (r *Replica) setDefaults() {
	setDefaultDuration(&r.ElectionMin, DefaultElectionMin)
	setDefaultDuration(&r.ElectionMax, max(DefaultElectionMax, r.ElectionMin))
	setDefaultDuration(&r.StartupElectionMin, r.ElectionMin)
	setDefaultDuration(&r.Heartbeat, DefaultHeartbeat)
	setDefaultDuration(&r.SnapshotRetry, DefaultSnapshotRetry)
	setDefaultInt(&r.BatchBytes, DefaultBatchBytes)
	setDefaultInt(&r.ChunkBytes, DefaultChunkBytes)
	setDefaultInt(&r.Window, DefaultWindow)

	if r.TrailingEntries == 0 {
		r.TrailingEntries = DefaultTrailingEntries
	}

	if r.MaxPromotionLag == 0 {
		r.MaxPromotionLag = DefaultMaxPromotionLag
	}
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setDefaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Tick advances the time; it must be called at least every few hundredths of a second.
func (r *Replica) Tick(now time.Duration) {
	r.now = max(r.now, now)

	if r.role == leader {
		r.tickLeader()

		return
	}

	if r.now >= r.electionDeadline {
		r.onElectionTimeout()
	}
}

// Step processes a message; an error means that the replica must stop.
func (r *Replica) Step(now time.Duration, message Message) error {
	r.Tick(now)

	if message.To != r.ID || message.From == r.ID {
		return nil
	}

	if message.Term < r.hardState.Term {
		r.rejectStaleTerm(message)

		return nil
	}

	if message.Term > r.hardState.Term && !r.acceptTerm(message) {
		return nil
	}

	return r.dispatch(message)
}

func (r *Replica) dispatch(m Message) error {
	switch m.Kind {
	case KindPreVote:
		r.onPreVote(m)
	case KindPreVoteResponse:
		r.onPreVoteResponse(m)
	case KindVote:
		r.onVote(m)
	case KindVoteResponse:
		r.onVoteResponse(m)
	case KindAppend:
		return r.onAppend(m)
	case KindAppendResponse:
		return r.onAppendResponse(m)
	case KindSnapshot:
		return r.onSnapshot(m)
	case KindSnapshotResponse:
		r.onSnapshotResponse(m)
	}

	return nil
}

// Leader returns the known leader of the term, empty when unknown.
func (r *Replica) Leader() lab.InstanceID {
	return r.leaderID
}

// Leading reports whether this replica was elected in its term and has not stepped down.
func (r *Replica) Leading() bool {
	return r.role == leader
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.hardState.Term
}

// AppliedIndex returns the index up to which Output has handed out committed entries.
func (r *Replica) AppliedIndex() uint64 {
	return r.appliedIndex
}

// ElectedAt returns the time at which this replica became leader.
func (r *Replica) ElectedAt() time.Duration {
	return r.electedAt
}

// Membership returns the membership in force.
func (r *Replica) Membership() Membership {
	return r.memberships[len(r.memberships)-1].members
}

func (r *Replica) send(m Message) {
	m.From, m.Term = r.ID, r.hardState.Term
	r.messages = append(r.messages, m)
}
