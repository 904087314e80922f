// Package lablog provides the logger of a process, which writes one line of key=value pairs for each event.
package lablog
