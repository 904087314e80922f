package labquotarecorder

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration                       { return c.now }
func (*manualClock) Wall() time.Time                            { return time.Time{} }
func (*manualClock) Sleep(context.Context, time.Duration) error { return nil }

// TestRecorder guards against a log line for each refusal and against a metric that grows with the organisations.
func TestRecorder(t *testing.T) {
	var log bytes.Buffer

	c := &manualClock{}
	r := &Recorder{Clock: c, Log: zerolog.New(&log)}

	for range 50 {
		r.Refused("o", 1, false)

		c.now += time.Second

		r.LogEnded()
	}

	assert.Equal(t, strings.Count(log.String(), "quota_refusals_started"), 1)
	assert.Equal(t, strings.Count(log.String(), "quota_refusals_ended"), 0)

	c.now += quietTime

	r.LogEnded()
	r.LogEnded()
	assert.Equal(t, strings.Count(log.String(), "quota_refusals_ended"), 1)

	for n := range 2 * maxOrganisations {
		r.Granted(fmt.Sprint(n), 1)
	}

	var m expvar.Map

	r.Publish(&m)

	labels := 0

	m.Get("quota_granted").(*expvar.Map).Do(func(expvar.KeyValue) { labels++ })
	assert.Equal(t, labels, maxOrganisations) // without the one that was refused, and with the others together
}
