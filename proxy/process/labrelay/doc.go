// Package labrelay relays statements through a gateway: another proxy that has connections to a member. A proxy needs a
// gateway when it may have no connection to the member, which accepts fewer connections than there are proxies, or when
// it can't reach the member. The sending proxy makes all decisions; the gateway only binds one of its connections to the
// stream for a transaction at a time.
package labrelay
