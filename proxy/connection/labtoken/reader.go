package labtoken

import "encoding/binary"

type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.bad, r.rest = true, nil

		return 0
	}

	r.rest = r.rest[size:]

	return n
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.bad, r.rest = true, nil

		return ""
	}

	text := string(r.rest[:n])
	r.rest = r.rest[n:]

	return text
}
