package labfront

import (
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// fileListener wraps a listening socket, whose descriptor it closes.
func fileListener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()

	l, err := net.FileListener(file)
	if err != nil {
		return nil, errors.Newf("open listener: %w", err)
	}

	return l, nil
}
