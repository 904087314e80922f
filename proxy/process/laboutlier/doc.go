// Package laboutlier compares the members of one service as this proxy sees them. It states how much slower than the
// others a member is, and ejects a member that is much slower or fails many statements, while at least half of the
// members remain. An ejected member gets a few trial statements, which decide when it is taken back.
package laboutlier
