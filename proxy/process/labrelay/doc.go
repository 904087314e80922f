// Package labrelay passes statements on to a proxy that has connections to a member, when this one has none: members
// accept fewer connections than there are proxies, or the way to a member is cut. All decisions stay with the sender;
// the gateway lends one of its connections for a transaction at a time.
package labrelay
