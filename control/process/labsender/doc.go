// Package labsender passes consensus messages on to the other instances of a group.
package labsender
