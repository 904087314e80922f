package labfront

import (
	"context"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// checkAddress returns an error if the process can't listen on the address. It is called before gnet is started:
// gnet 2.9.7 reports any failure to listen as "bad file descriptor", because it sets keepalive options on the socket
// that it failed to open.
func checkAddress(ctx context.Context, address string) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Newf("listen on %s: %w", address, err)
	}

	if err = l.Close(); err != nil {
		return errors.Newf("close test listener on %s: %w", address, err)
	}

	return nil
}

// fileListener returns a net.Listener for a listening socket and closes the given descriptor.
func fileListener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()

	l, err := net.FileListener(file)
	if err != nil {
		return nil, errors.Newf("open listener from descriptor: %w", err)
	}

	return l, nil
}
