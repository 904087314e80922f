// Package labsession holds the state of one caller's session: startup, authentication, splitting into units, prepared
// statements, transaction state, position floors, and the answer stream.
//
// A session has no goroutine of its own. Receive parses what arrived and starts a worker only while complete messages
// wait; the worker ends when there are none, also in the middle of a transaction.
package labsession
