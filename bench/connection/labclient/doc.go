// Package labclient is one caller's session against the proxies: it keeps its session token and moves between proxies.
package labclient
