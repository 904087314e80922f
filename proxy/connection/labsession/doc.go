// Package labsession holds the state of one caller's session: startup, authentication, splitting into units, prepared
// statements, transaction state, position floors, and the answer stream.
//
// A session has no goroutine of its own. Receive parses what arrived and starts a worker only while complete messages
// wait; the worker ends when there are none, also in the middle of a transaction.
//
// A gateway sees a session's units as follows. A simple unit is one Query, possibly with a BEGIN and SETs put before the
// caller's text. An extended unit ends with one Sync; a Parse that comes before the unit's first Execute is left out and
// its statement listed in Unit.Statements, so the gateway prepares it where it is missing and answers the upstream's
// error if that fails. A Parse after an Execute is sent as it is, under the unnamed statement or a name that starts
// with lab_inline_, with a Close before it. A unit of nothing but Sync checks the listed statements.
package labsession
