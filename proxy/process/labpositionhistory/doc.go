// Package labpositionhistory records the commit positions of a service's primary, each with the time of the request
// that returned it. A read at a member that has reached such a position sees every commit that was acknowledged before
// the request was sent.
package labpositionhistory
