// Package lablease keeps the leader's record of which proxy may use which duty until when. It reads no clock: every
// call is told the time.
//
// A right is released early only by a heartbeat that was sent after the last answer's heartbeat and no longer lists the
// grant. This relies on the proxy's side of the contract: an answer gives no grant that is missing from the Held list
// of a heartbeat sent after the one it answers.
package lablease
