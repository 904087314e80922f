// Package labtoken encodes the session token, which carries a session's position floors between proxies.
package labtoken
