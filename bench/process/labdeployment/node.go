package labdeployment

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/control/process/labinstance"
	"laburnumlock.dev/lab/proxy/process/labproxy"
)

// node runs one control instance or one proxy in a goroutine. Only one of control and proxy is set.
type node struct {
	name    string
	control *labinstance.Instance
	proxy   *labproxy.Proxy
	listen  func(ctx context.Context) error // creates a new instance and opens its sockets
	cancel  context.CancelFunc
	done    chan error // receives the result of Run
}

// run starts the instance that listen has created.
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

// stop cancels the instance and waits until it has stopped.
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

// ready reports whether the proxy accepts clients, has a valid lease, and knows a primary and gateways of each
// database.
func (n *node) ready(databases []string) bool {
	return n.proxy.ClientAddress() != "" && n.proxy.Ready(databases)
}
