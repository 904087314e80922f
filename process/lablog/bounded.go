package lablog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is how many lines wait for a slow reader of the output before the oldest are dropped; about 100 KiB.
	bufferedLines = 512
	// requestLines bounds the lines about single requests in a second; an overloaded proxy fails thousands.
	requestLines = 100
)

// Bounded returns a writer that never blocks: when out isn't read, lines are dropped and their number is given to lost.
// Close writes what is buffered.
func Bounded(out io.Writer, lost func(lines int)) io.WriteCloser {
	return diode.NewWriter(out, bufferedLines, 0, lost)
}

// Requests returns a logger for lines about single requests, which drops those beyond a number in a second.
func Requests(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: requestLines, Period: time.Second})
}
