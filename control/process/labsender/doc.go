// Package labsender sends consensus messages to the other instances of a group.
package labsender
