package labforward

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

const (
	frameHeaderSize = 12       // bytes that encode the length and the sequence number of a frame
	maxFrameSize    = 64 << 20 // bytes in the body of a frame
	chunkSize       = 32 << 10 // bytes of a response in one frame
)

// kind is the type of a frame.
type kind uint8

const (
	kindBatch     kind = iota + 1 // entry proxy to gateway: run a batch
	kindCancel                    // entry proxy to gateway: cancel the running batch
	kindResponse                  // gateway to entry proxy: part of the response
	kindResult                    // gateway to entry proxy: the batch has completed
	kindFailure                   // gateway to entry proxy: the batch has failed
	kindKeepAlive                 // gateway to entry proxy: the batch is still running
)

var errFrame = errors.New("invalid frame")

// streamHeader is what the entry proxy sends when it opens a stream.
type streamHeader struct {
	Header lab.TransactionHeader `msgpack:"h"`
	Region string                `msgpack:"r"` // region of the entry proxy
}

// frame is one message of a transaction's stream. The frames of each direction are numbered from 1. Every frame has a
// Kind and a RequestID; the Kind determines which of the other fields are set.
type frame struct {
	Kind      kind              `msgpack:"k"`
	RequestID uint64            `msgpack:"q"`
	Batch     *lab.MessageBatch `msgpack:"u,omitempty"`
	Data      []byte            `msgpack:"d,omitempty"`
	Result    *lab.BatchResult  `msgpack:"r,omitempty"`
	Outcome   lab.Outcome       `msgpack:"o,omitempty"`
	Reason    string            `msgpack:"w,omitempty"`
	Text      string            `msgpack:"t,omitempty"`
}

// encodeFrame encodes a frame with the sequence number 0, which setSequence replaces later. Frames are numbered in the
// order in which they are written to the stream, and that order is decided only after a frame has been encoded and has
// waited for the region link.
func encodeFrame(f frame) ([]byte, error) {
	body, err := msgpack.Marshal(&f)
	if err != nil {
		return nil, errors.Newf("encode frame: %w", err)
	}

	if len(body) > maxFrameSize {
		return nil, errors.Newf("%w: %d bytes", errFrame, len(body))
	}

	out := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderSize+len(body)), uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, 0)

	return append(out, body...), nil
}

// setSequence sets the sequence number of an encoded frame.
func setSequence(out []byte, sequence uint64) {
	binary.BigEndian.PutUint64(out[4:], sequence)
}

// decodeFrame decodes the body of a frame.
func decodeFrame(body []byte) (frame, error) {
	var f frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return frame{}, errors.Newf("%w: %s", errFrame, err.Error())
	}

	complete := f.Kind >= kindBatch && f.Kind <= kindKeepAlive
	complete = complete && (f.Kind != kindBatch || f.Batch != nil)
	complete = complete && (f.Kind != kindResult || f.Result != nil)

	if !complete {
		return frame{}, errors.Newf("%w: kind %d", errFrame, f.Kind)
	}

	return f, nil
}

// readFrame reads one frame and its sequence number.
func readFrame(reader io.Reader) (frame, uint64, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame{}, 0, err
	}

	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameSize {
		return frame{}, 0, errors.Newf("%w: %d bytes", errFrame, length)
	}

	// ReadAll allocates memory as data arrives, so that a peer cannot use up memory by only announcing a long frame.
	body, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err != nil {
		return frame{}, 0, errors.Newf("read frame: %w", err)
	}

	if len(body) < int(length) {
		return frame{}, 0, io.ErrUnexpectedEOF
	}

	f, err := decodeFrame(body)

	return f, binary.BigEndian.Uint64(header[4:]), err
}
