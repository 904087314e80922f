// Package labmemorybudget counts the bytes that a process holds for its connections and decides which connections are
// closed when they exceed a limit. It has no I/O.
package labmemorybudget
