// Package lablease records, for the leader of the control group, which proxy may use which gateway role and until when.
// It reads no clock: every call receives the current time.
//
// The holder of a grant is the proxy that received it. Before its expiry, a grant is released only by a heartbeat of
// its holder that is newer than all heartbeats of the holder processed before. The Grants field of this heartbeat must
// lack the grant, or the heartbeat must come from a new incarnation at the same address. Proxies have to follow a rule:
// after a proxy has sent a heartbeat without a grant, it ignores this grant in the responses to its earlier heartbeats.
// Otherwise a delayed response could bring a released grant back into use.
package lablease
