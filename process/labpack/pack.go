package labpack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize is the maximum size of uncompressed data in bytes. The largest configuration documents have a few hundred
// kilobytes.
const MaxSize = 16 << 20

// writers holds writers that can be used again, since each has more than 1 MB of tables.
var writers sync.Pool

// Pack compresses data with DEFLATE.
func Pack(b []byte) ([]byte, error) {
	var out bytes.Buffer

	w, ok := writers.Get().(*flate.Writer)
	if ok {
		w.Reset(&out)
	} else {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, errors.Newf("start compression: %w", err)
		}
	}

	defer writers.Put(w)

	if _, err := w.Write(b); err != nil {
		return nil, errors.Newf("compress: %w", err)
	}

	if err := w.Close(); err != nil {
		return nil, errors.Newf("finish compression: %w", err)
	}

	return out.Bytes(), nil
}

// Encode encodes a value with msgpack and compresses the result.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, errors.Newf("encode value: %w", err)
	}

	return Pack(b)
}

// Decode decodes the output of Encode into the value that v points to.
func Decode(b []byte, v any) error {
	p, err := Unpack(b)
	if err != nil {
		return err
	}

	return errors.Wrap(msgpack.Unmarshal(p, v), "decode value")
}

// Unpack decompresses the output of Pack. It fails if the result exceeds MaxSize bytes.
func Unpack(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))

	out, err := io.ReadAll(io.LimitReader(r, MaxSize+1))
	if err != nil {
		return nil, errors.Newf("decompress: %w", err)
	}

	if len(out) > MaxSize {
		return nil, errors.Newf("decompressed data is over the limit of %d bytes", MaxSize)
	}

	return out, nil
}
