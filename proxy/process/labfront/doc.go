// Package labfront listens for callers and moves bytes between their connections and their sessions.
//
// Event loops of gnet read and write; an idle connection has no goroutine and no buffer.
package labfront
