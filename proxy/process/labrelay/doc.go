// Package labrelay relays statements through a gateway: another proxy that has connections to a member. A proxy needs a
// gateway when it can't reach the member. It also needs one when the member accepts fewer connections than there are
// proxies, and this proxy may have none. The sending proxy makes all decisions. The gateway only provides one of its
// connections, which it binds to the stream for a transaction at a time.
package labrelay
