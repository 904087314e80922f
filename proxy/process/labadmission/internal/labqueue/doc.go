// Package labqueue decides which request runs next on a member. It is a deterministic state machine: the caller passes
// in the time and serialises all calls, and no call blocks.
package labqueue
