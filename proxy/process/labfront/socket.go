package labfront

import (
	"context"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// checkAddress checks that the address can be listened on. gnet 2.9.7 reports any failure to listen as "bad file descriptor",
// because it sets keepalive options on the socket that it did not get.
func checkAddress(ctx context.Context, address string) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Newf("listen on %s: %w", address, err)
	}

	if err = l.Close(); err != nil {
		return errors.Newf("close probe of %s: %w", address, err)
	}

	return nil
}

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
