package labtypedproxy

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labtransport"
)

// TestPrepare checks that control learns at once when the commits have ended that it waits for.
func TestPrepare(t *testing.T) {
	p := &Proxy{
		Self: lab.Instance{ID: "p"}, Clock: labclock.NewBootClock(), Log: zerolog.Nop(), Transport: &labtransport.Transport{},
	}
	p.Prepare()
	assert.Assert(t, p.directory.OnCommitsDrained != nil)
	assert.Assert(t, p.directory.Permissions().Drained != nil)
}
