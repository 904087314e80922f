// Package labsubscriber updates a proxy's directory from the leader of the control group. It watches the leader for new
// configurations and for changes of the members and proxies, and reports the reachability of primaries. It first finds
// the leader through the seeds: the control instances whose addresses are in the proxy's settings.
package labsubscriber
