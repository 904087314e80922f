// Package labreplica implements the consensus algorithm (Raft) as a deterministic state machine.
//
// A Replica performs no I/O and reads no clock: every input carries the monotonic time, and Output returns what the
// caller has to persist, send and apply.
package labreplica
