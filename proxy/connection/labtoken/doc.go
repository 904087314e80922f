// Package labtoken encodes the session token, with which a client carries the minimum positions of its session from one
// proxy to another. A minimum position is the WAL position that a member must have replayed before it serves a read of
// the session.
package labtoken
