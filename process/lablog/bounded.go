package lablog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is how many lines wait for a slow reader of the output before the oldest are dropped; about 100 KiB.
	maxBufferedLines = 512
	// maxRequestLinesPerSecond bounds the lines about single requests in a second; an overloaded proxy fails thousands.
	maxRequestLinesPerSecond = 100
)

// NewNonBlockingWriter returns a writer that never blocks: when out isn't read, lines are dropped and their number is given to lost.
// Close writes what is buffered.
func NewNonBlockingWriter(out io.Writer, lost func(lines int)) io.WriteCloser {
	return diode.NewWriter(out, maxBufferedLines, 0, lost)
}

// NewRequestLogger returns a logger for lines about single requests, which drops those beyond a number in a second.
func NewRequestLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxRequestLinesPerSecond, Period: time.Second})
}
