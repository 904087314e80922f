package lab

import (
	"context"
	"time"
)

// StateMachine is the state that the replicated log is applied to. A single goroutine calls its methods.
type StateMachine interface {
	// Apply executes one committed command and returns the result that its proposer receives.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by the state in a snapshot.
	Restore(snapshot []byte) error
}

// Leadership describes the current leader of the consensus group.
type Leadership struct {
	Leader   InstanceID
	IsLeader bool          // this instance is the leader and has heard from a quorum within the election timeout
	Term     uint64        // consensus term
	Since    time.Duration // value of Clock.Now when this instance became leader; 0 if another instance is the leader
}

// ReplicatedLog is a replicated, durable sequence of commands.
type ReplicatedLog interface {
	// Propose appends a command and returns the state machine's result once it is committed and applied on this instance.
	// It returns ErrNotLeader when this instance is not the leader, and ErrOutcomeUnknown when it loses leadership before
	// the command is committed.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier returns once two conditions hold: after the call, a quorum has confirmed that this instance is the leader,
	// and every entry committed before the call is applied on this instance.
	Barrier(ctx context.Context) error
	// Leadership returns this instance's view of the current leader.
	Leadership() Leadership
}

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	Data  []byte `msgpack:"d"` // encoded command or membership change; empty in the first entry of a leader's term
}

// HardState is the Raft state that a consensus instance must store durably before it sends messages that depend on it.
type HardState struct {
	Term     uint64     `msgpack:"t"`
	VotedFor InstanceID `msgpack:"v"` // instance that got this instance's vote in Term
}

// LogSnapshot is the state of the state machine after applying all entries up to and including Index.
type LogSnapshot struct {
	Index  uint64       `msgpack:"i"`
	Term   uint64       `msgpack:"t"` // consensus term of the entry at Index
	Voters []InstanceID `msgpack:"p"` // voters as of Index
	// Learners are the instances that, as of Index, receive the log but don't vote.
	Learners []InstanceID `msgpack:"l"`
	// Joined has the index of the entry that added an instance, as of Index; none for the initial voters.
	Joined map[InstanceID]uint64 `msgpack:"j,omitempty"`
	Data   []byte                `msgpack:"d"` // encoded state of the state machine
}

// Journal stores the consensus state on disk. Each method returns only after its writes are synced.
type Journal interface {
	// Load returns everything stored. It drops an incomplete last record, and fails if an earlier record is damaged.
	Load() (HardState, LogSnapshot, []LogEntry, error)
	// SaveState stores the consensus term and the vote.
	SaveState(state HardState) error
	// Append stores entries. It first removes all stored entries from the index of the first new entry on.
	Append(entries []LogEntry) error
	// SaveSnapshot stores a snapshot and drops the entries that it covers.
	SaveSnapshot(snapshot LogSnapshot) error
	// Close closes the files.
	Close() error
}
