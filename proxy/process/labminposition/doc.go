// Package labminposition stores the minimum positions of named sessions. The client identifies a named session by a
// name instead of a token. Each session's minimum position is stored at two proxies in different availability zones,
// which are called the peers of the session. Rendezvous hashing of the session's name selects them.
//
// A minimum position counts as stored when both peers have stored it. To load a session's minimum position, both peers
// must still have one, and the later of the two is used. In every other case the session must read from the primary. A
// peer may therefore drop minimum positions at any time.
//
// Two proxies may have different lists of candidates for a short time, and so select different peers. If one of the two
// peers differs, the peer that both proxies select still has the latest minimum position. If both peers differ, an
// earlier minimum position may be loaded.
package labminposition
