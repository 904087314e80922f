// Package labpool implements the pool of this proxy's connections to one member. A member accepts few connections, and
// opening one occupies a slot of the member for some milliseconds. All sessions therefore share open connections; a
// session holds one for a transaction at a time.
package labpool
