package labforward

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func batchOf(text string) lab.MessageBatch { return lab.MessageBatch{Messages: []byte(text)} }

func (f *fixture) run(t *testing.T, header lab.TransactionHeader, batches ...string) (lab.BatchResult, string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()

	header.RequestID, header.Database = 9, "rota"

	tx, err := f.entry.Begin(ctx, header)
	if err != nil {
		return lab.BatchResult{}, "", err
	}
	defer tx.Close()

	var (
		response bytes.Buffer
		result   lab.BatchResult
	)

	for _, b := range batches {
		if result, err = tx.Run(ctx, batchOf(b), &response); err != nil {
			break
		}
	}

	return result, response.String(), err
}

func wantOutcome(t *testing.T, err error, outcome lab.Outcome, reason string) {
	t.Helper()

	gotOutcome, gotReason := lab.OutcomeOf(err)
	assert.Assert(t, err != nil)
	assert.Equal(t, gotOutcome, outcome, "%v", err)
	assert.Equal(t, gotReason, reason, "%v", err)
}

// Guards against writes that are not sent to the primary's region, and reads that leave the entry proxy's region
// without need.
func TestRoute(t *testing.T) {
	t.Run("write to the primary's region", func(t *testing.T) {
		f := newFixture(t)
		result, response, err := f.run(t, lab.TransactionHeader{}, "w1")
		assert.NilError(t, err)
		assert.Equal(t, response, "response to w1")
		assert.Equal(t, result.Status, byte('I'))
		assert.Equal(t, f.far.headers[0].Region, "bothnia")

		_, writes, reads := f.entry.Link.SentBytes()
		assert.Assert(t, writes > 0)
		assert.Equal(t, reads, int64(0))
	})
	t.Run("read in the own region", func(t *testing.T) {
		f := newFixture(t)
		_, _, err := f.run(t, lab.TransactionHeader{ReadOnly: true}, "r1")
		assert.NilError(t, err)
		assert.Equal(t, len(f.near.ran), 1)

		_, writes, reads := f.entry.Link.SentBytes()
		assert.Equal(t, writes+reads, int64(0))
	})
	t.Run("read without a replica goes to the primary's region", func(t *testing.T) {
		f := newFixture(t)
		f.near.refuse = refuseTimes(lab.ReasonMisrouted, 1<<10)
		_, _, err := f.run(t, lab.TransactionHeader{ReadOnly: true}, "r2")
		assert.NilError(t, err)
		assert.Equal(t, len(f.far.ran), 1)
		assert.Equal(t, f.far.headers[0].Hops, 1)
	})
	t.Run("own gateway without a replica", func(t *testing.T) {
		f := newFixture(t)
		f.catalog.database.Placements[0].Instance = "p1"
		f.entry.Local = &fakeGateway{refuse: refuseTimes(lab.ReasonMisrouted, 1)}
		_, _, err := f.run(t, lab.TransactionHeader{ReadOnly: true}, "r3")
		assert.NilError(t, err)
		assert.Equal(t, len(f.far.ran), 1)
	})
	t.Run("stale placement", func(t *testing.T) {
		f := newFixture(t)
		f.far.refuse = refuseTimes(lab.ReasonMisrouted, 1)
		_, response, err := f.run(t, lab.TransactionHeader{}, "w2")
		assert.NilError(t, err)
		assert.Equal(t, response, "response to w2")
		assert.Equal(t, len(f.far.ran), 1)
	})
	t.Run("database not in the catalog yet", func(t *testing.T) {
		f := newFixture(t)
		f.catalog.missing = 4
		_, response, err := f.run(t, lab.TransactionHeader{TimeLeft: 2 * time.Second}, "w5")
		assert.NilError(t, err)
		assert.Equal(t, response, "response to w5")
	})
	t.Run("refused until the deadline", func(t *testing.T) {
		const deadline = 300 * time.Millisecond

		f := newFixture(t)
		f.far.refuse = refuseTimes(lab.ReasonMisrouted, 1<<10)
		began := time.Now()
		_, _, err := f.run(t, lab.TransactionHeader{TimeLeft: deadline}, "w3")
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
		assert.Assert(t, time.Since(began) < 2*deadline)
		assert.Assert(t, len(f.far.headers) <= 1+int(deadline/catalogRetryDelay))
	})
	for _, reason := range []string{lab.ReasonNoLease, lab.ReasonMisrouted, lab.ReasonDraining} {
		t.Run("gateway role that moves, "+reason, func(t *testing.T) {
			f := newFixture(t)
			f.far.refuse = refuseTimes(reason, 5)
			_, response, err := f.run(t, lab.TransactionHeader{TimeLeft: 2 * time.Second}, "w4")
			assert.NilError(t, err)
			assert.Equal(t, response, "response to w4")
		})
	}
	t.Run("large response and two batches", func(t *testing.T) {
		f := newFixture(t)
		large := strings.Repeat("x", 3*chunkSize+1)
		f.far.run = func(_ context.Context, b lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
			status := byte('T')
			if string(b.Messages) == "commit" {
				status = 'I'
			}

			_, err := io.WriteString(response, large)

			return lab.BatchResult{Status: status}, err
		}
		_, response, err := f.run(t, lab.TransactionHeader{}, "begin", "commit")
		assert.NilError(t, err)
		assert.Equal(t, response, large+large)
	})
}

func refuseTimes(reason string, times int) func(lab.TransactionHeader) error {
	return func(lab.TransactionHeader) error {
		if times--; times >= 0 {
			return lab.NotRunError(reason, errors.New("refused"))
		}

		return nil
	}
}

// Guards against reporting a wrong outcome for a batch whose stream is lost. The outcome must agree with what the
// gateway may have run.
func TestLostStream(t *testing.T) {
	t.Run("no peer", func(t *testing.T) {
		f := newFixture(t)
		delete(f.peers.servers, "p3")
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonConnectionLost)
	})
	t.Run("after the batch was sent", func(t *testing.T) {
		f := newFixture(t)
		f.peers.intercept = func(stream lab.Stream) bool {
			_, _, _ = readFrame(stream)
			stream.Cancel()

			return true
		}
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
	})
	t.Run("silent peer", func(t *testing.T) {
		f := newFixture(t)
		f.peers.intercept = func(stream lab.Stream) bool {
			_, _ = io.Copy(io.Discard, stream)

			return true
		}
		started := time.Now()
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
		assert.Assert(t, time.Since(started) < time.Second)
	})
	t.Run("slow statement", func(t *testing.T) {
		f := newFixture(t)
		f.far.run = func(context.Context, lab.MessageBatch, io.Writer) (lab.BatchResult, error) {
			time.Sleep(500 * time.Millisecond)

			return lab.BatchResult{Status: 'I'}, nil
		}
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		assert.NilError(t, err)
	})
	t.Run("response to another request", func(t *testing.T) {
		f := newFixture(t)
		f.peers.intercept = respondWith(frame{Kind: kindResult, RequestID: 8, Result: &lab.BatchResult{Status: 'I'}}, 1)
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
	})
	t.Run("repeated frame", func(t *testing.T) {
		f := newFixture(t)
		f.peers.intercept = respondWith(frame{Kind: kindResult, RequestID: 9, Result: &lab.BatchResult{Status: 'I'}}, 2)
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
	})
	t.Run("outcome and reason of the gateway", func(t *testing.T) {
		f := newFixture(t)
		f.far.refuse = refuseTimes(lab.ReasonOverload, 1)
		_, _, err := f.run(t, lab.TransactionHeader{}, "w")
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonOverload)
	})
}

// respondWith returns an intercept function that responds to a batch with the frame f under the given sequence number.
func respondWith(f frame, sequence uint64) func(lab.Stream) bool {
	return func(stream lab.Stream) bool {
		_, _, _ = readFrame(stream)
		out, _ := encodeFrame(f)
		setSequence(out, sequence)
		_, _ = stream.Write(out)

		return true
	}
}

// Guards against a gateway that continues to run a batch for a client that has disconnected, and against cancel
// requests that don't arrive at the gateway.
func TestEndFromEntry(t *testing.T) {
	f := newFixture(t)
	running := make(chan struct{}, 1)
	f.far.run = func(ctx context.Context, _ lab.MessageBatch, _ io.Writer) (lab.BatchResult, error) {
		running <- struct{}{}
		<-ctx.Done()

		return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonCancelled, ctx.Err())
	}

	ctx, cancel := context.WithCancel(context.Background())
	tx, err := f.entry.Begin(ctx, lab.TransactionHeader{RequestID: 9, Database: "rota"})
	assert.NilError(t, err)

	go func() {
		<-running
		tx.Cancel()

		for {
			if _, _, cancelled := f.far.counts(); cancelled == 1 {
				cancel()

				return
			}

			time.Sleep(time.Millisecond)
		}
	}()

	_, err = tx.Run(ctx, batchOf("w"), io.Discard)
	wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonCancelled)
	tx.Close()

	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, closed, _ := f.far.counts(); closed == 1 {
			return
		}

		assert.Assert(t, time.Now().Before(end), "the gateway's transaction was not closed")
	}
}
