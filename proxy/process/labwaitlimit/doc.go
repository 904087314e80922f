// Package labwaitlimit decides how long a statement may wait for a connection to a busy member, and how long for its
// response. The limits matter when the load exceeds the capacity of a member's slots for seconds. Without them, every
// statement would wait for a connection until shortly before its deadline and would then be sent. Its response would
// arrive too late for the client, so the member would spend its time on results that nobody uses.
package labwaitlimit
