// Package labcancel forwards cancel requests to the proxy to which the session is connected.
package labcancel
