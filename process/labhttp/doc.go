// Package labhttp serves HTTP handlers with bounded timeouts and a graceful end.
package labhttp
