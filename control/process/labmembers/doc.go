// Package labmembers keeps the member registry: what members announce about themselves. Announcements may arrive late,
// out of order and from several senders. For each member, the announcement with the highest incarnation and sequence is
// kept.
package labmembers
