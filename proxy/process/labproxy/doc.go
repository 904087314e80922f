// Package labproxy runs one proxy process: the listener for clients, gateway, transport, heartbeats and HTTP servers.
package labproxy
