// Package labconsensus runs a consensus replica with a journal, a clock and a state machine.
package labconsensus
