// Package labsuccession decides when a service gets another primary and which member becomes it, for members that are
// promoted by a call to the platform.
//
// A commit is acknowledged when one replica has received it, so the candidate must hold everything that any other
// replica has received. The others are stopped from receiving first: from then on only the candidate can receive, and
// what is acknowledged later is in its log.
package labsuccession
