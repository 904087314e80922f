// Package labhistory records what callers sent and were told, and checks the invariants over it.
package labhistory
