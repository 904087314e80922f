// Package labpool implements the pool of this proxy's direct connections to one member. A member accepts few
// connections, and opening one occupies a slot of the member for some milliseconds. All sessions therefore share the
// open connections. A session uses one for a transaction at a time.
package labpool
