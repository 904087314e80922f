// Package labprober reads and promotes upstreams over the PostgreSQL protocol with a new connection each time.
package labprober
