// Package labframe splits the byte stream of a caller into messages of the PostgreSQL protocol.
package labframe
