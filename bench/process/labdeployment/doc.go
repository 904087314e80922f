// Package labdeployment runs a whole deployment in one process: control instances, proxies and stand-in servers. The
// control instances and proxies run the production code. All listen on free loopback ports.
package labdeployment
