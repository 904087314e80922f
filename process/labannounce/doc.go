// Package labannounce receives the announcements that upstreams post about themselves.
package labannounce
