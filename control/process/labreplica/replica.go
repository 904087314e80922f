package labreplica

import (
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Defaults of a Replica's fields.
const (
	DefaultElectionMin   = 300 * time.Millisecond
	DefaultElectionMax   = 600 * time.Millisecond
	DefaultHeartbeat     = 60 * time.Millisecond
	DefaultBatchBytes    = 256 << 10
	DefaultChunkBytes    = 256 << 10 // takes 70 ms on a region link of 30 Mbit/s
	DefaultWindow        = 16
	DefaultSnapshotRetry = 500 * time.Millisecond // well above the 70 ms a chunk takes plus the round trip
	DefaultTrailing      = 1000
	DefaultPromoteLag    = 64
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
	// Rejoin replaces the lower bound of the election timeout until a leader is heard after the start; ElectionMin when 0.
	// It may be shorter only where nothing trusts a leader that has not confirmed its leadership with a round.
	Rejoin        time.Duration
	Heartbeat     time.Duration // interval of the leader's heartbeats
	BatchBytes    int           // bytes of entries per message
	ChunkBytes    int           // bytes of snapshot data per message
	Window        int           // unanswered appends per member
	SnapshotRetry time.Duration // after which an unanswered chunk is sent again
	Trailing      uint64        // entries kept in memory before a snapshot, for members slightly behind
	PromoteLag    uint64        // entries a learner may be behind when it is promoted

	now      time.Duration
	role     role
	state    lab.HardState
	saved    lab.HardState
	leader   lab.InstanceID
	deadline time.Duration
	heard    time.Duration // when the leader was last heard from
	led      bool          // a leader has been heard from since the start
	votes    map[lab.InstanceID]bool

	log      entryLog
	commit   uint64
	applied  uint64
	history  []membership
	snapshot lab.LogSnapshot
	install  *lab.LogSnapshot
	incoming *incoming

	peers     []*progress
	elected   time.Duration
	termStart uint64 // index of the first entry of the leader's term
	nextBeat  time.Duration
	beat      bool
	round     uint64
	asked     uint64 // latest round started for a barrier
	barriers  []barrier
	barrierID uint64

	early     []Message
	messages  []Message
	confirmed []uint64
}

// Start sets what was persisted; it is called once, before all other methods.
func (r *Replica) Start(now time.Duration, state lab.HardState, snapshot lab.LogSnapshot, entries []lab.LogEntry) error {
	r.setDefaults()
	r.now, r.state, r.saved = now, state, state
	r.snapshot = snapshot
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.log.reset(snapshot.Index, snapshot.Term)
	r.history = []membership{{snapshot.Index, snapshotMembers(snapshot)}}

	if err := r.restoreEntries(entries); err != nil {
		return err
	}

	// A vote right after a restart could contradict the promise made to a leader heard just before it.
	r.heard = now + r.Rejoin - r.ElectionMin
	r.resetDeadline()

	return nil
}

func (r *Replica) restoreEntries(entries []lab.LogEntry) error {
	for _, e := range entries {
		if e.Index != r.log.last()+1 {
			return errors.Newf("stored entry %d follows %d", e.Index, r.log.last())
		}

		if err := r.appendEntry(e); err != nil {
			return err
		}
	}

	r.log.handed, r.log.stable = r.log.last(), r.log.last()

	return nil
}

func (r *Replica) setDefaults() {
	setDuration(&r.ElectionMin, DefaultElectionMin)
	setDuration(&r.ElectionMax, max(DefaultElectionMax, r.ElectionMin))
	setDuration(&r.Rejoin, r.ElectionMin)
	setDuration(&r.Heartbeat, DefaultHeartbeat)
	setDuration(&r.SnapshotRetry, DefaultSnapshotRetry)
	setInt(&r.BatchBytes, DefaultBatchBytes)
	setInt(&r.ChunkBytes, DefaultChunkBytes)
	setInt(&r.Window, DefaultWindow)

	if r.Trailing == 0 {
		r.Trailing = DefaultTrailing
	}

	if r.PromoteLag == 0 {
		r.PromoteLag = DefaultPromoteLag
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
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

	if r.now >= r.deadline {
		r.timeOut()
	}
}

// Step processes a message; an error means that the replica must stop.
func (r *Replica) Step(now time.Duration, message Message) error {
	r.Tick(now)

	if message.To != r.ID || message.From == r.ID {
		return nil
	}

	if message.Term < r.state.Term {
		r.answerOldTerm(message)

		return nil
	}

	if message.Term > r.state.Term && !r.acceptTerm(message) {
		return nil
	}

	return r.dispatch(message)
}

func (r *Replica) dispatch(m Message) error {
	switch m.Kind {
	case KindPreVote:
		r.onPreVote(m)
	case KindPreVoteAnswer:
		r.onPreVoteAnswer(m)
	case KindVote:
		r.onVote(m)
	case KindVoteAnswer:
		r.onVoteAnswer(m)
	case KindAppend:
		return r.onAppend(m)
	case KindAppendAnswer:
		return r.onAppendAnswer(m)
	case KindSnapshot:
		return r.onSnapshot(m)
	case KindSnapshotAnswer:
		r.onSnapshotAnswer(m)
	}

	return nil
}

// Leader returns the known leader of the term, empty when unknown.
func (r *Replica) Leader() lab.InstanceID {
	return r.leader
}

// Leading reports whether this replica was elected in its term and has not stepped down.
func (r *Replica) Leading() bool {
	return r.role == leader
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.state.Term
}

// Applied returns the index up to which Output has handed out committed entries.
func (r *Replica) Applied() uint64 {
	return r.applied
}

// Elected returns the time at which this replica became leader.
func (r *Replica) Elected() time.Duration {
	return r.elected
}

// Members returns the membership in force.
func (r *Replica) Members() Members {
	return r.history[len(r.history)-1].members
}

func (r *Replica) send(m Message) {
	m.From, m.Term = r.ID, r.state.Term
	r.messages = append(r.messages, m)
}
