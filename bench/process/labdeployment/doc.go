// Package labdeployment runs a whole deployment in one process: control instances, proxies and stand-in upstreams, with
// the real code and real loopback sockets, on free ports and in a data folder.
package labdeployment
