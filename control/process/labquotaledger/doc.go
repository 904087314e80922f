// Package labquotaledger records the tokens of one organisation that were granted to other instances and are not yet
// accounted for. It reads no clock: every call receives the current time.
package labquotaledger
