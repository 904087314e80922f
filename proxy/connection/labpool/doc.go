// Package labpool holds this proxy's connections to one member. Connections are few and each costs the member a
// slot for a while, so they are kept and shared by all sessions, one transaction at a time.
package labpool
