// Package labagent keeps a proxy in touch with control: it sends heartbeats, holds the lease that the answers renew
// and brings configuration changes into force.
package labagent
