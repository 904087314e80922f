// Package labminposition keeps the position floors of sessions that do not present a token, at two proxies in different
// availability zones that rendezvous hashing of the session's name selects.
//
// A floor is kept when both peers have stored it, and recalled when both still have one; the later one counts. In every
// other case the session must read from the primary. So a peer may forget floors at any time, and proxies whose lists of
// candidates differ by one of the two peers still find the latest floor at the other one. Lists that differ by both
// peers at once may yield an earlier floor.
package labminposition
