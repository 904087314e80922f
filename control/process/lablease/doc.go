// Package lablease records, for the leader of the control group, which proxy may use which gateway role and until when.
// It reads no clock: every call receives the current time.
//
// A grant is released before its expiry only by a heartbeat that is newer than all heartbeats of the holder processed
// before and whose Held list lacks the grant. This relies on a rule that proxies follow: a proxy ignores a grant in a
// response if it has sent a later heartbeat whose Held list lacks that grant. Otherwise a delayed response could bring
// a released grant back into use.
package lablease
