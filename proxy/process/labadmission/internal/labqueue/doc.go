// Package labqueue decides which requests run on a member next. It is a deterministic state machine: time is passed in,
// nothing blocks, and the caller serialises all calls.
package labqueue
