// Package labprober reads the status of upstreams and promotes them over the PostgreSQL protocol, with a new connection
// for each call.
package labprober
