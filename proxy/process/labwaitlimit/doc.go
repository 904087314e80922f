// Package labwaitlimit decides how long a statement may wait for a connection to a busy member. It answers one load
// pattern: more work than a member's slots can do, for seconds. Without a limit every statement waits until its time
// is nearly over, is then sent all the same, and its answer comes too late for the caller, so the member's time is lost
// to all.
package labwaitlimit
