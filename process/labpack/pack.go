package labpack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize bounds a document in bytes after unpacking, well above the few hundred kilobytes of the largest.
const MaxSize = 16 << 20

// Pack compresses.
func Pack(b []byte) ([]byte, error) {
	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Newf("start compression: %w", err)
	}

	if _, err := w.Write(b); err != nil {
		return nil, errors.Newf("compress: %w", err)
	}

	if err := w.Close(); err != nil {
		return nil, errors.Newf("end compression: %w", err)
	}

	return out.Bytes(), nil
}

// Encode returns a value's compressed msgpack form.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, errors.Newf("encode value: %w", err)
	}

	return Pack(b)
}

// Decode reads what Encode returned into the value pointed to.
func Decode(b []byte, v any) error {
	p, err := Unpack(b)
	if err != nil {
		return err
	}

	return errors.Wrap(msgpack.Unmarshal(p, v), "decode value")
}

// Unpack decompresses what Pack returned; it fails on more than MaxSize bytes.
func Unpack(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))

	out, err := io.ReadAll(io.LimitReader(r, MaxSize+1))
	if err != nil {
		return nil, errors.Newf("decompress: %w", err)
	}

	if len(out) > MaxSize {
		return nil, errors.Newf("document is over %d bytes", MaxSize)
	}

	return out, nil
}
