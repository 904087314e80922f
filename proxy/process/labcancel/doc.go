// Package labcancel forwards cancel requests to the proxy that serves the session.
package labcancel
