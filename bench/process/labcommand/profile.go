package labcommand

import (
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
)

// startProfile writes a CPU profile to the file until stop is called. It does nothing if file is empty.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}

	f, err := os.Create(file)
	if err != nil {
		return nil, errors.Newf("create CPU profile: %w", err)
	}

	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Newf("start CPU profile: %w", errors.CombineErrors(err, f.Close()))
	}

	return func() {
		pprof.StopCPUProfile()

		_ = f.Close() // ignores an error, since tools that read the profile report a truncated file
	}, nil
}
