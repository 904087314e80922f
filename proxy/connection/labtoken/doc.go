// Package labtoken encodes the session token, which carries the minimum positions of a session between proxies.
package labtoken
