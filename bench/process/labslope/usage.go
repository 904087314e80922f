package labslope

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// processorTime returns the user and system processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0 // RUSAGE_SELF can't fail on Linux
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident memory of this process in bytes.
func residentBytes() (float64, error) {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, errors.Newf("read process status: %w", err)
	}

	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) == 3 && f[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseFloat(f[1], 64)
			if err != nil {
				return 0, errors.Newf("parse resident memory: %w", err)
			}

			return kilobytes * 1024, nil
		}
	}

	return 0, errors.New("process status has no resident memory")
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}

	f := strings.Fields(string(b))

	return strings.Join(f[:min(3, len(f))], " ")
}
