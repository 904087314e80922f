// Package labforwarder sends the announcements that reach a control instance to the leader, several in one call.
package labforwarder
