package labpassword

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Read returns the first line of a file, or an empty password if the file name is empty.
func Read(file string) (string, error) {
	if file == "" {
		return "", nil
	}

	b, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Newf("read password file: %w", err)
	}

	line, _, _ := strings.Cut(string(b), "\n")

	return strings.TrimRight(line, "\r"), nil
}
