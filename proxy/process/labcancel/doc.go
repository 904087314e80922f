// Package labcancel forwards a cancel request to the proxy whose session it cancels.
package labcancel
