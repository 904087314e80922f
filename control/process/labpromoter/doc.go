// Package labpromoter changes the primary of a database. It detects the loss of the primary, chooses the most advanced
// member and promotes it. A member is readable if it returns its status over a new connection in time. Each step is
// committed to the replicated log before the next one begins, so a new leader can resume a promotion from the catalog.
//
// lab.Prober.Promote must be idempotent: it must also succeed on a member that was promoted before. The status that it
// returns must have the switch point in Replayed and the current position in Received, both in the new primary term.
package labpromoter
