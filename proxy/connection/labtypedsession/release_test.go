package labtypedsession

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// relayedConnection is a connection through a gateway whose operations all time out.
type relayedConnection struct{ member lab.Announcement }

func (r relayedConnection) Member() lab.Announcement { return r.member }
func (relayedConnection) Direct() bool               { return false }
func (relayedConnection) IdleTime() time.Duration    { return 0 }
func (relayedConnection) Release()                   {}
func (relayedConnection) Discard()                   {}
func (relayedConnection) ReleaseAfterDrain()         {}

func (relayedConnection) Run(time.Time, map[string]string, ...lab.Operation) ([]lab.OperationResult, error) {
	return nil, os.ErrDeadlineExceeded
}

// directConnection is a connection of this proxy's own whose operations all time out.
type directConnection struct{ relayedConnection }

func (directConnection) Direct() bool { return true }

// TestOutOfStep checks that a member whose answers don't belong to the operations doesn't count as unreachable: it
// responds. It would otherwise be replaced.
func TestOutOfStep(t *testing.T) {
	for _, c := range []struct {
		name        string
		err         error
		unreachable bool
	}{
		{"out of step", lab.UnknownOutcomeError(lab.ReasonOutOfStep, errConnectionLost), false},
		{"out of step before the statement", lab.NotRunError(lab.ReasonOutOfStep, errConnectionLost), false},
		{"lost", errConnectionLost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, lab.ConsistencySession)
			p, ok := f.directory.LocalPrimaryPool("s")
			assert.Assert(t, ok)

			route, _, _ := f.directory.Route("db")
			a := f.session.newAttempt(lab.Operation{RequestID: "q"}, route)
			a.recordFailure(directConnection{relayedConnection{p.Member()}}, c.err)
			a.abandon(directConnection{relayedConnection{p.Member()}}, c.err)
			assert.Equal(t, f.directory.Unreachable(p.Member()), c.unreachable)
		})
	}
}

// TestPositionOfBegin guards against a position of the primary from a second response to an earlier begin. Replicas that
// lack newer commits would serve reads that must see them.
func TestPositionOfBegin(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error
		recorded bool
	}{
		{"statement ran", nil, true},
		{"statement without its own response", lab.UnknownOutcomeError(lab.ReasonOutOfStep, errConnectionLost), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, lab.ConsistencyPrimary)
			f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
				if o.Kind == lab.OperationWrite {
					return lab.OperationResult{}, c.err
				}

				return lab.OperationResult{}, nil
			}

			f.do(lab.OperationBegin)
			f.do(lab.OperationWrite)

			_, _, ok := f.directory.PrimaryHistory("s").Newest()
			assert.Equal(t, ok, c.recorded)
		})
	}
}

// TestRelayFailures checks that failures of gateways don't count as failures of the member. When many proxies lose
// power at once, healthy members would otherwise be replaced, and the direct connections to them would not be used.
func TestRelayFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
	}{
		{"timeout", os.ErrDeadlineExceeded},
		{"broken stream", lab.UnknownOutcomeError(lab.ReasonMisrouted, errConnectionLost)},
		{"broken stream before the statement", lab.NotRunError(lab.ReasonConnectionLost, errConnectionLost)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, lab.ConsistencySession)
			p, ok := f.directory.LocalPrimaryPool("s")
			assert.Assert(t, ok)

			route, _, _ := f.directory.Route("db")
			a := f.session.newAttempt(lab.Operation{RequestID: "q"}, route)

			for range 3 {
				a.recordFailure(relayedConnection{p.Member()}, c.err)
				a.abandon(relayedConnection{p.Member()}, c.err)
			}

			assert.Assert(t, !f.directory.Unreachable(p.Member()))
		})
	}
}

// TestEjectedMember guards against reads that no member runs: after one refusal of a gateway that has ejected the member,
// the next member must run the read, and nothing counts against the first one.
func TestEjectedMember(t *testing.T) {
	f := newFixture(t, lab.ConsistencySession)
	f.recordPosition(1)

	route, _, _ := f.directory.Route("db")
	a := f.session.newAttempt(lab.Operation{RequestID: "q"}, route)
	p, _ := f.directory.ReadSource("s", lab.CommitPosition{}, nil)
	started := time.Now()

	refusal := lab.NotRunError(lab.ReasonEjected, errConnectionLost)
	a.recordSent(refusal)
	assert.Assert(t, !a.sent, "the token of the quota isn't spent")
	a.recordFailure(relayedConnection{p.Member()}, refusal)
	assert.Assert(t, a.refusedEjected && a.triedMembers[p.Member().Member] && !a.mustStop())
	assert.Assert(t, time.Since(started) < retryDelay, "no pause")
	assert.Equal(t, f.session.Counters.Diverted.Value(), int64(1))
	assert.Assert(t, !f.directory.Unreachable(p.Member()))

	c, _, _, ok := a.acquireReader()
	assert.Assert(t, ok && c.Member().Member != p.Member().Member)
	c.Release()
}
