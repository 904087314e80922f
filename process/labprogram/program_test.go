package labprogram_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/process/labprogram"
)

// Guards against a check command that starts the daemon, and against a run command that does not report an error.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	assert.NilError(t, os.WriteFile(file, nil, 0o600))

	var started []string

	p := &labprogram.Program{
		Name: "x", Check: func(string) error { return nil },
		Start: func(_ context.Context, f string) error {
			started = append(started, f)

			return errors.New("failed")
		},
	}

	var out bytes.Buffer
	assert.NilError(t, p.Run(context.Background(), []string{"--settings", file, "check"}, &out))
	assert.Assert(t, strings.Contains(out.String(), "is valid"))
	assert.Equal(t, len(started), 0)
	assert.ErrorContains(t, p.Run(context.Background(), []string{"--settings", file}, &out), "failed")
	assert.Equal(t, len(started), 1)
	assert.ErrorContains(t, p.Run(context.Background(), []string{"--settings", file + "x"}, &out), "parse command line")
}
