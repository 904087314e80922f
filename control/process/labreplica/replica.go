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
	DefaultChunkBytes      = 256 << 10 // one chunk takes 70 ms on a link of 30 Mbit/s between regions
	DefaultWindow          = 16
	DefaultSnapshotRetry   = 500 * time.Millisecond // well above the 70 ms of a chunk plus a round trip
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

// Replica is one replica of a consensus group. Its methods must not be called concurrently.
type Replica struct {
	ID     lab.InstanceID
	Random lab.Random
	// ElectionMin is the lower bound of the election timeout. For this long after contact with a leader, a replica
	// refuses to vote. A leader steps down when it has had no contact with a quorum for this long.
	ElectionMin time.Duration
	ElectionMax time.Duration // upper bound of the election timeout
	// StartupElectionMin replaces ElectionMin between Start and the first contact with a leader; 0 means ElectionMin. A
	// value below ElectionMin is safe only if a Barrier confirms the leadership before each action that relies on it.
	StartupElectionMin time.Duration
	Heartbeat          time.Duration // interval of the leader's heartbeats
	BatchBytes         int           // maximum size of the entries in a message, in bytes
	ChunkBytes         int           // maximum size of the snapshot data in a message, in bytes
	Window             int           // maximum number of unacknowledged appends per peer
	SnapshotRetry      time.Duration // time without a response after which a snapshot chunk is sent again
	TrailingEntries    uint64        // number of entries before a snapshot that stay in memory, for peers slightly behind
	MaxPromotionLag    uint64        // maximum number of committed entries that a learner may lack when it is promoted

	now               time.Duration // latest time that a method was called with
	role              role
	hardState         lab.HardState           // current term and vote
	outputState       lab.HardState           // term and vote that Output returned last
	leaderID          lab.InstanceID          // leader of the current term; empty when unknown
	electionDeadline  time.Duration           // time at which the election timeout ends
	lastLeaderContact time.Duration           // time of the last message from a leader
	leaderObserved    bool                    // a leader has sent a message since Start
	votes             map[lab.InstanceID]bool // voters that granted a vote in the current election

	log          entryLog
	commitIndex  uint64
	appliedIndex uint64              // index of the last entry that Output returned as committed
	memberships  []indexedMembership // membership at the snapshot and all later ones, in ascending order
	snapshot     lab.LogSnapshot     // latest stored snapshot, sent to peers that need compacted entries
	installed    *lab.LogSnapshot    // received snapshot that the next Output returns; nil for none
	incoming     *incomingSnapshot   // partially received snapshot; nil for none

	peers         []*progress // replication state of the other instances; only on the leader
	electedAt     time.Duration
	termStart     uint64        // index of the first entry of the leader's term
	nextHeartbeat time.Duration // time of the next heartbeat
	heartbeatDue  bool          // the next Output sends heartbeats
	round         uint64        // current heartbeat round
	barrierRound  uint64        // latest heartbeat round that was started for a barrier
	barriers      []barrier     // pending barriers
	lastBarrierID uint64

	immediateMessages []Message // messages that need not wait until the next Output is persisted
	messages          []Message // messages that are sent once the next Output is persisted
	confirmedBarriers []uint64  // identifiers of confirmed barriers that the next Output returns
}

// Start restores the persisted state. It is called once, before all other methods.
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

	// The replica may have had contact with a leader just before a restart, so it must not vote right away.
	// With this value it refuses to vote for the duration of StartupElectionMin.
	r.lastLeaderContact = now + r.StartupElectionMin - r.ElectionMin
	r.resetElectionDeadline()

	return nil
}

func (r *Replica) restoreEntries(entries []lab.LogEntry) error {
	for _, e := range entries {
		if e.Index != r.log.lastIndex()+1 {
			return errors.Newf("stored entry %d does not follow entry %d", e.Index, r.log.lastIndex())
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

// Tick advances the time. The caller must call it at least every few tens of milliseconds.
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

// Leader returns the leader of the current term, or an empty identifier when it is unknown.
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

// AppliedIndex returns the index up to which Output has returned committed entries.
func (r *Replica) AppliedIndex() uint64 {
	return r.appliedIndex
}

// ElectedAt returns the time at which this replica last became leader.
func (r *Replica) ElectedAt() time.Duration {
	return r.electedAt
}

// Membership returns the latest membership in the log, which takes effect even before its entry is committed.
func (r *Replica) Membership() Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// CommittedMembership returns the membership of the latest committed change.
func (r *Replica) CommittedMembership() Membership {
	return r.membershipAt(r.commitIndex)
}

func (r *Replica) send(m Message) {
	m.From, m.Term = r.ID, r.hardState.Term
	r.messages = append(r.messages, m)
}
