// Package labroster keeps what members announce about themselves. Announcements may arrive late, out of order and from
// several places; the newest incarnation and sequence of a member wins.
package labroster
