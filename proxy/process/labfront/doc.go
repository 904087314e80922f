// Package labfront accepts client connections and copies bytes between the connections and their sessions.
//
// gnet's event loops read and write. An idle connection has no goroutine and no buffer.
package labfront
