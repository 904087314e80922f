package labcommand

import (
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
)

// startProfile writes a processor profile to the file until stop is called; an empty name does nothing.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}

	f, err := os.Create(file)
	if err != nil {
		return nil, errors.Newf("create profile: %w", err)
	}

	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Newf("start profile: %w", errors.CombineErrors(err, f.Close()))
	}

	return func() {
		pprof.StopCPUProfile()

		_ = f.Close() // a cut profile shows when it is read
	}, nil
}
