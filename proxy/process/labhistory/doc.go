// Package labhistory remembers positions of a service's primary and when they were asked for. A read that starts at a
// member which has such a position sees every commit that was acknowledged before the question.
package labhistory
