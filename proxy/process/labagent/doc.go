// Package labagent connects a proxy to the control group: it sends heartbeats, holds the lease that the responses renew
// and applies catalog changes.
package labagent
