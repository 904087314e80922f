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
