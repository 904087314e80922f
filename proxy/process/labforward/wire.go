package labforward

import (
	"bufio"
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// wire is one side of a transaction's stream. Sends may be concurrent, receives may not.
type wire struct {
	stream  lab.Stream
	reader  *bufio.Reader
	request uint64
	link    *Link // nil when the stream stays in the region
	traffic Traffic
	got     uint64

	mu   sync.Mutex
	sent uint64
}

func newWire(stream lab.Stream, header lab.TransactionHeader, link *Link) *wire {
	w := &wire{stream: stream, reader: bufio.NewReader(stream), request: header.RequestID, link: link, traffic: TrafficWrite}
	if header.ReadOnly {
		w.traffic = TrafficRead
	}

	return w
}

// send writes a frame and reports whether the peer may have received all of it.
func (w *wire) send(ctx context.Context, f frame) (received bool, err error) {
	f.RequestID = w.request

	out, err := encodeFrame(f)
	if err != nil {
		return false, err
	}

	// Waiting for the link outside the lock lets keepalive and cancel frames pass a waiting answer.
	if err = w.spend(ctx, f, len(out)); err != nil {
		return false, err
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.sent++
	number(out, w.sent)

	n, err := w.stream.Write(out)
	if err != nil {
		return n == len(out), errors.Newf("write frame: %w", err)
	}

	return true, nil
}

func (w *wire) spend(ctx context.Context, f frame, size int) error {
	if w.link == nil {
		return nil
	}

	traffic := w.traffic
	if f.Kind == kindCancel || f.Kind == kindKeepAlive {
		traffic = TrafficControl
	}

	return w.link.Spend(ctx, traffic, size)
}

// receive reads a frame and checks that it belongs to the request and is the next one.
func (w *wire) receive() (frame, error) {
	f, sequence, err := readFrame(w.reader)
	if err != nil {
		return frame{}, err
	}

	w.got++

	if f.RequestID != w.request || sequence != w.got {
		return frame{}, errors.Newf(
			"%w: request %d frame %d instead of request %d frame %d", errFrame, f.RequestID, sequence, w.request, w.got)
	}

	return f, nil
}
