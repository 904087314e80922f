// Package labwaitlimit decides how long a statement may wait for a connection to a busy member, and for its response. It
// handles a load that exceeds the capacity of a member's slots for seconds. Without a limit every statement waits for a
// connection until shortly before its deadline and is then sent. Its response arrives too late for the client, so the
// member spends its time on work that nobody uses.
package labwaitlimit
