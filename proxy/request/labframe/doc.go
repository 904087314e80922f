// Package labframe splits the byte stream of a client into messages of the PostgreSQL protocol.
package labframe
