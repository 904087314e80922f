// Package labproxy runs one proxy process: the client listener, the gateway, the transport to other processes, the
// heartbeats to the control group and the HTTP servers.
package labproxy
