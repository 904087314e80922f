// Package labupstream runs message batches of the PostgreSQL protocol on a connection to an upstream.
package labupstream
