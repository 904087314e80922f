// Package labmemberlist keeps the list of members that the control group sends to the proxies, so that a receiver with
// an earlier revision gets only what has changed since.
package labmemberlist
