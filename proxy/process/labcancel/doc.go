// Package labcancel passes cancel requests on to the proxy that has the session.
package labcancel
