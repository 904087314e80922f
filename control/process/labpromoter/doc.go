// Package labpromoter changes the primary of a database: it detects the loss of a primary, chooses the most advanced
// member and promotes it. Each step is committed to the log before the next one, so a new leader resumes from the
// catalog.
//
// lab.Prober.Promote must succeed on a member that was promoted before and return a status whose Replayed is the switch
// point and whose Received is the current position, both in the new term.
package labpromoter
