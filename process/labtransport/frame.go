package labtransport

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labmeteredreader"
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 64 << 20 // large enough for a snapshot of the catalog
)

// preamble is the first frame of each QUIC stream.
type preamble struct {
	Method    lab.Method `msgpack:"m"`
	RequestID uint64     `msgpack:"q"`
}

// responseStatus is the first frame of the response to a call.
type responseStatus struct {
	RequestID  uint64      `msgpack:"q"`
	Failed     bool        `msgpack:"f"`
	HasOutcome bool        `msgpack:"y"` // the error carries an outcome: Outcome and Reason are set
	Outcome    lab.Outcome `msgpack:"o"`
	Reason     string      `msgpack:"r"`
	Message    string      `msgpack:"e"`
	NotLeader  bool        `msgpack:"n"` // the error is lab.ErrNotLeader
}

func appendFrame(buffer []byte, value any) ([]byte, error) {
	b, err := msgpack.Marshal(value)
	if err != nil {
		return nil, errors.Newf("encode frame: %w", err)
	}

	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(b)))

	return append(buffer, b...), nil
}

func readFrame(r io.Reader) ([]byte, error) {
	var h [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, errors.Newf("read frame length: %w", err)
	}

	size := binary.BigEndian.Uint32(h[:])
	if size > maxFrameBytes {
		return nil, errors.Newf("frame of %d bytes exceeds the limit of %d", size, maxFrameBytes)
	}

	return readBody(r, int(size))
}

// readBody reads a frame body of size bytes. The buffer grows with the received data, so that a false length in a frame
// header does not allocate memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	const step = 64 << 10

	b := make([]byte, 0, min(size, step))
	for len(b) < size {
		n := min(size-len(b), max(step, len(b)))
		start := len(b)
		b = append(b, make([]byte, n)...)

		if _, err := io.ReadFull(r, b[start:]); err != nil {
			return nil, errors.Newf("read frame body: %w", err)
		}
	}

	return b, nil
}

// meter returns a reader that counts the messages on a stream in the memory budget. If they have to be given up, the stream
// is cancelled.
func (t *Transport) meter(s *stream, peer string) *labmeteredreader.Reader {
	return &labmeteredreader.Reader{Source: s, Memory: t.Memory, Evict: func() {
		t.EvictedStreams.Add(1)
		t.requestLog.Warn().Str("peer", peer).Msg("stream_closed_for_memory")
		s.Cancel()
	}}
}

func decodeFrame(r io.Reader, value any) error {
	b, err := readFrame(r)
	if err != nil {
		return err
	}

	if err := msgpack.Unmarshal(b, value); err != nil {
		return errors.Newf("decode frame: %w", err)
	}

	return nil
}
