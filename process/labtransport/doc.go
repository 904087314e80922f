// Package labtransport carries requests and streams between the system's processes over QUIC with mutual TLS.
//
// Each request or stream uses one QUIC stream. Its frames are a four-byte big-endian length and a msgpack value: a
// preamble with method and request id, then the request or header. A call is answered by a status frame and a value.
package labtransport
