// Package labquotabucket holds the token buckets of the organisations, from which the leader of the control group grants
// tokens to the control instances.
//
// The tokens in a bucket and those that are granted and not accounted for never exceed the capacity together, and a bucket
// refills only up to that. In each window the holders therefore spend at most the capacity and the refill of the window,
// whichever of them can reach the leader. The package reads no clock: every call receives the current time.
package labquotabucket
