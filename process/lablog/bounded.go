package lablog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is the number of lines, about 100 KiB, that are buffered while the output is not read. When the
	// buffer is full, the oldest lines are dropped.
	maxBufferedLines = 512
	// maxRequestLinesPerSecond limits the lines about single requests, since an overloaded proxy rejects thousands of
	// requests per second.
	maxRequestLinesPerSecond = 100
)

// NewNonBlockingWriter returns a buffering writer that never blocks. When out is not read and the buffer is full, lines
// are dropped, and lost is called with their number. Close writes the buffered lines.
func NewNonBlockingWriter(out io.Writer, lost func(lines int)) io.WriteCloser {
	return diode.NewWriter(out, maxBufferedLines, 0, lost)
}

// NewRequestLogger returns a logger for lines about single requests. It drops the lines above maxRequestLinesPerSecond.
func NewRequestLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxRequestLinesPerSecond, Period: time.Second})
}
