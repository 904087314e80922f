// Package labhttp provides an HTTP server with timeouts and graceful shutdown.
package labhttp
