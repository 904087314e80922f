package labrelay

import (
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func acquireFor(t *testing.T, s *Source, organisation string) lab.PooledConnection {
	t.Helper()

	c, err := s.Acquire(t.Context(), lab.AcquireRequest{Organisation: organisation, Priority: 1})
	assert.NilError(t, err)

	return c
}

// TestOrganisations guards against relayed statements that run for another organisation or for one that was removed.
func TestOrganisations(t *testing.T) {
	read := lab.Operation{Kind: lab.OperationRead, RequestID: "q", Text: "FETCH x"}

	t.Run("header", func(t *testing.T) {
		g := newFakeGateway()
		s := newSource(fakePeers{"g": g}, "g")
		s.Version = func() uint64 { return 7 }

		_, err := acquireFor(t, s, "o").Run(testDeadline(), nil, read)
		assert.NilError(t, err)
		assert.Equal(t, g.acquired, lab.AcquireRequest{Organisation: "o", Priority: 1})
		assert.Equal(t, g.version, uint64(7))
	})

	t.Run("unknown organisation", func(t *testing.T) {
		a, b := newFakeGateway(), newFakeGateway()
		a.unknown, b.unknown = "o", "o"
		s := newSource(fakePeers{"a": a, "b": b}, "a", "b")

		_, err := acquireFor(t, s, "o").Run(testDeadline(), nil, read)

		o, reason := lab.OutcomeOf(err)
		assert.Equal(t, o, lab.OutcomeNotRun, "%v", err)
		assert.Equal(t, reason, lab.ReasonRejected)
		assert.Equal(t, len(a.received)+len(b.received), 0)

		_, err = acquireFor(t, s, "p").Run(testDeadline(), nil, read)
		assert.NilError(t, err)
		assert.Equal(t, len(a.received), 1, "the gateway still serves the other organisations")
	})

	t.Run("order of gateways", func(t *testing.T) {
		gateways := fakePeers{"a": newFakeGateway(), "b": newFakeGateway()}
		s := newSource(gateways, "a", "b")
		s.Gateways = func(organisation string) ([]lab.Instance, int) {
			a, b := lab.Instance{ID: "a", Address: "a"}, lab.Instance{ID: "b", Address: "b"}
			if organisation == "o" {
				return []lab.Instance{a, b}, 2
			}

			return []lab.Instance{b, a}, 2
		}

		// All statements of an organisation go to its first gateway, also while it has others in progress.
		held := acquireFor(t, s, "o")
		_, err := held.Run(testDeadline(), nil, lab.Operation{Kind: lab.OperationBegin})
		assert.NilError(t, err)
		_, err = held.Run(testDeadline(), nil, lab.Operation{Kind: lab.OperationCommit})
		assert.NilError(t, err)

		for range 3 {
			_, err := acquireFor(t, s, "o").Run(testDeadline(), nil, read)
			assert.NilError(t, err)
		}

		assert.Equal(t, len(gateways["a"].received), 5)
		assert.Equal(t, len(gateways["b"].received), 0)

		_, err = acquireFor(t, s, "p").Run(testDeadline(), nil, read)
		assert.NilError(t, err)
		assert.Equal(t, len(gateways["b"].received), 1)
	})
}

// TestLostGateway guards against statements that keep going to a gateway that is frozen or was killed, and against a
// write that is repeated although the lost gateway may have run it.
func TestLostGateway(t *testing.T) {
	read := lab.Operation{Kind: lab.OperationRead, RequestID: "q", Text: "FETCH x"}

	t.Run("frozen", func(t *testing.T) {
		live := newFakeGateway()
		s := newSource(fakePeers{"dead": nil, "live": live}, "dead", "live")

		// The outcome of the statement in progress is unknown, and the next one uses the next gateway.
		_, err := acquireFor(t, s, "o").Run(time.Now().Add(50*time.Millisecond), nil, lab.Operation{Kind: lab.OperationWrite})
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)

		o, _ := lab.OutcomeOf(err)
		assert.Equal(t, o, lab.OutcomeUnknown)

		_, err = acquireFor(t, s, "o").Run(testDeadline(), nil, read)
		assert.NilError(t, err)
		assert.Equal(t, len(live.received), 1)
	})

	t.Run("killed", func(t *testing.T) {
		live := newFakeGateway()
		s := newSource(fakePeers{"live": live}, "dead", "live")

		_, err := acquireFor(t, s, "o").Run(testDeadline(), nil, read)

		o, _ := lab.OutcomeOf(err)
		assert.Equal(t, o, lab.OutcomeNotRun, "the stream was never opened")

		_, err = acquireFor(t, s, "o").Run(testDeadline(), nil, read)
		assert.NilError(t, err)
		assert.Equal(t, len(live.received), 1)
	})
}
