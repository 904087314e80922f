package labdialogue

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// relayed is a channel over another proxy.
type relayed struct{ member lab.Announcement }

func (r relayed) Member() lab.Announcement { return r.member }
func (relayed) Direct() bool               { return false }
func (relayed) IdleTime() time.Duration    { return 0 }
func (relayed) Release()                   {}
func (relayed) Discard()                   {}
func (relayed) ReleaseAfterDrain()         {}

func (relayed) Run(time.Time, map[string]string, ...lab.Operation) ([]lab.OperationResult, error) {
	return nil, os.ErrDeadlineExceeded
}

// TestEvidence replays many proxies that lose power at once: what gets lost on the way over them is no evidence against a
// member, which would be replaced and left unused here.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
	}{
		{"silence", os.ErrDeadlineExceeded},
		{"broken stream", lab.UnknownOutcomeError(lab.ReasonMisrouted, errGone)},
		{"broken stream before the statement", lab.NotRunError(lab.ReasonConnectionLost, errGone)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, lab.ConsistencySession)
			p, ok := b.directory.PrimaryPool("s")
			assert.Assert(t, ok)

			route, _, _ := b.directory.Route("db")
			a := b.session.attempt(lab.Operation{RequestID: "q"}, route)

			for range 3 {
				a.silent(relayed{p.Member()}, c.err)
				a.unanswered(relayed{p.Member()}, c.err)
			}

			assert.Assert(t, !b.directory.Failing(p.Member()))
		})
	}
}
