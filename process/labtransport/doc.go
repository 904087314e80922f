// Package labtransport carries requests and streams between processes of the system over QUIC with mutual TLS.
//
// Each request or stream uses one QUIC stream. A frame consists of a four-byte big-endian length and a value encoded
// with msgpack. The sender first sends a preamble frame with the method and the request id, then a frame with the
// request or the stream header. The response to a request is a status frame, followed by a frame with the response
// value if the request succeeded.
package labtransport
