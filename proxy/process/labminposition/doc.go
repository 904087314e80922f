// Package labminposition stores the minimum positions of named sessions, which present no token. Each session's minimum
// position is stored at two proxies in different availability zones, its peers. Rendezvous hashing of the session's
// name selects them.
//
// A minimum position counts as stored when both peers have stored it. It is loaded when both peers still have one, and
// the later of the two is used. In every other case the session must read from the primary. A peer may therefore drop
// minimum positions at any time. If the candidate lists of two proxies differ by one of the two peers, the other peer
// still has the latest minimum position. If the lists differ by both peers at once, an earlier minimum position may be
// loaded.
package labminposition
