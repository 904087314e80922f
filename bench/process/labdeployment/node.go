package labdeployment

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/control/process/labinstance"
	"laburnumlock.dev/lab/proxy/process/labproxy"
)

// node is one control instance or proxy with its running goroutine.
type node struct {
	name    string
	control *labinstance.Instance
	proxy   *labproxy.Proxy
	listen  func(ctx context.Context) error // makes a new instance and opens its sockets
	cancel  context.CancelFunc
	done    chan error
}

// run starts the instance that listen has made.
func (n *node) run(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.done = make(chan error, 1)

	control, proxy, done := n.control, n.proxy, n.done

	go func() {
		if control != nil {
			done <- control.Run(ctx)
		} else {
			done <- proxy.Run(ctx)
		}
	}()
}

// stop asks the instance to end and waits for it.
func (n *node) stop() error {
	if n.cancel == nil {
		return nil
	}

	n.cancel()
	n.cancel = nil

	if err := <-n.done; err != nil {
		return errors.Newf("stop %s: %w", n.name, err)
	}

	return nil
}

func (n *node) restart(ctx context.Context) error {
	if err := n.stop(); err != nil {
		return err
	}

	if err := n.listen(ctx); err != nil {
		return errors.Newf("restart %s: %w", n.name, err)
	}

	n.run(ctx)

	return nil
}

// ready reports whether the proxy accepts callers and knows a primary for each database.
func (n *node) ready(databases []string) bool {
	return n.proxy.ClientAddress() != "" && n.proxy.Ready(databases)
}
