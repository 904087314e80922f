// Package labsubscriber updates a proxy's directory from the leader of the control group. It watches the leader for new
// configurations and lists of members and proxies, and reports the reachability of primaries.
package labsubscriber
