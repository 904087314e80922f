// Package labupstream runs units of protocol messages on one connection to an upstream.
package labupstream
