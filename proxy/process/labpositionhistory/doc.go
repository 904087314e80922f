// Package labpositionhistory records the commit positions of a service's primary with the times of the requests that returned
// them. A read at a member that has reached such a position sees every commit that was acknowledged before the request.
package labpositionhistory
