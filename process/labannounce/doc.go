// Package labannounce implements the HTTP endpoint to which upstreams post announcements about themselves.
package labannounce
