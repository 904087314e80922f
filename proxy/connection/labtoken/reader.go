package labtoken

import "encoding/binary"

// reader decodes the fields of a token. It sets malformed when a field is truncated or invalid.
type reader struct {
	remaining []byte
	malformed bool
}

func (r *reader) readUvarint() uint64 {
	n, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.malformed, r.remaining = true, nil

		return 0
	}

	r.remaining = r.remaining[size:]

	return n
}

func (r *reader) readString() string {
	n := r.readUvarint()
	if n > uint64(len(r.remaining)) {
		r.malformed, r.remaining = true, nil

		return ""
	}

	text := string(r.remaining[:n])
	r.remaining = r.remaining[n:]

	return text
}
