// Package labclient connects a client session to the proxies. The session keeps its token when it moves to another
// proxy.
package labclient
