// Package labconsensus runs a Raft replica with a journal, a clock and a state machine.
package labconsensus
