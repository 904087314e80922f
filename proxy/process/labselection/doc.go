// Package labselection decides which member serves a read. It answers three load patterns: calm load, where the nearest
// member is the fastest and cheapest; a member that falls behind or refuses, which is left alone for a while; and
// transactions that pile up at one member, which spread to the others.
package labselection
