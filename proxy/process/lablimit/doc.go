// Package lablimit learns how many concurrent statements a member handles well, as this proxy sees it, from the latency
// against the number in progress and from refusals.
package lablimit
