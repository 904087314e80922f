// Package labproxy runs one proxy: callers' listener, gateway, transport, heartbeats and HTTP servers.
package labproxy
