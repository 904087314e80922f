// Package lablease records, for the leader of the control group, which proxy may use which gateway role and until when.
// It reads no clock: every call receives the current time.
//
// The holder of a grant is the proxy that received it. Before its expiry, a grant is released only by a heartbeat of
// its holder. The Grants field of this heartbeat must lack the grant, and the heartbeat must be newer than all
// heartbeats of the holder processed before. This relies on a rule that proxies follow: a proxy ignores a grant in the
// response to a heartbeat if the proxy has sent a heartbeat without this grant in the meantime. Otherwise a delayed
// response could bring a released grant back into use.
package lablease
