// Package labfront is the client listener of a proxy: it accepts client connections and copies bytes between the
// connections and their sessions.
//
// Event loops of the package gnet read from the connections and write to them. An idle connection has no goroutine and
// no buffer.
package labfront
