package lab

import (
	"context"
	"time"
)

// StateMachine is the replicated state that a consensus log drives; one goroutine calls it.
type StateMachine interface {
	// Apply executes one committed command and returns its result for the proposer.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot's.
	Restore(snapshot []byte) error
}

// Leadership tells who leads the consensus group.
type Leadership struct {
	Leader InstanceID
	Self   bool          // this instance leads and heard from a quorum within the election timeout
	Term   uint64        // consensus term
	Since  time.Duration // Clock.Now when this instance became leader, if it leads
}

// ReplicatedLog is a replicated, durable sequence of commands.
type ReplicatedLog interface {
	// Propose appends a command and returns the state machine's result once it is committed and applied here.
	// It returns ErrNotLeader when this instance does not lead and ErrOutcomeUnknown when leadership ends meanwhile.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier returns once a quorum has confirmed, after the call, that this instance leads, and everything committed
	// before the call is applied here.
	Barrier(ctx context.Context) error
	// Leadership returns the current view of who leads.
	Leadership() Leadership
}

// LogEntry is one entry of the consensus log.
type LogEntry struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	Data  []byte `msgpack:"d"` // empty for the entry that a new leader commits first
}

// HardState is what a consensus instance must not forget.
type HardState struct {
	Term     uint64     `msgpack:"t"`
	VotedFor InstanceID `msgpack:"v"`
}

// LogSnapshot is the state machine's state up to and including an entry.
type LogSnapshot struct {
	Index  uint64       `msgpack:"i"`
	Term   uint64       `msgpack:"t"`
	Voters []InstanceID `msgpack:"p"` // voters as of the index
	// Learners receive the log but don't vote.
	Learners []InstanceID `msgpack:"l"`
	Data     []byte       `msgpack:"d"`
}

// Journal stores consensus state; each method returns after its effect is synced.
type Journal interface {
	// Load returns everything stored, after dropping a torn tail; it fails on damage before the tail.
	Load() (HardState, LogSnapshot, []LogEntry, error)
	// SaveState stores term and vote.
	SaveState(state HardState) error
	// Append stores entries, first removing stored entries from the first one's index on.
	Append(entries []LogEntry) error
	// SaveSnapshot stores a snapshot and drops the entries it covers.
	SaveSnapshot(snapshot LogSnapshot) error
	// Close releases the files.
	Close() error
}
