package labconsensus

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// request is a request to the loop; exactly one of command, change and barrier is set.
type request struct {
	command     []byte
	change      *labreplica.Change
	barrier     bool
	interrupted error // returned when the wait ends without a result
	done        chan result
}

type result struct {
	value any
	err   error
}

// waiter is a call that was accepted in a term.
type waiter struct {
	term uint64
	done chan<- result
}

func (w waiter) complete(value any, err error) {
	w.done <- result{value, err}
}

// handle runs in the loop.
func (g *Group) handle(c request) {
	if c.barrier {
		id, err := g.replica.Barrier(g.Clock.Now())
		g.addWaiter(g.barriers, c, id, g.replica.Term(), err)

		return
	}

	if c.change != nil {
		i, t, err := g.replica.Change(g.Clock.Now(), *c.change)
		if err == nil && i == 0 {
			c.done <- result{}

			return
		}

		g.addWaiter(g.waiters, c, i, t, err)

		return
	}

	i, t, err := g.replica.Propose(g.Clock.Now(), c.command)
	g.addWaiter(g.waiters, c, i, t, err)
}

func (g *Group) addWaiter(waiters map[uint64]waiter, c request, key, term uint64, err error) {
	if err != nil {
		c.done <- result{err: err}

		return
	}

	waiters[key] = waiter{term, c.done}
}

// submit passes a call to the loop and waits; an error before the loop took it means that nothing was proposed.
func (g *Group) submit(ctx context.Context, c request) (any, error) {
	g.initialize()
	c.done = make(chan result, 1)

	select {
	case g.requests <- c:
	case <-ctx.Done():
		return nil, errors.Newf("queue call: %w", ctx.Err())
	case <-g.stopped:
		return nil, lab.ErrNotLeader
	}

	select {
	case r := <-c.done:
		return r.value, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", c.interrupted, ctx.Err()) // errors.Newf wraps one error only
	case <-g.stopped:
		return nil, c.interrupted
	}
}

// Propose appends a command and returns the state machine's result once it is committed and applied here. It returns
// ErrNotLeader when this instance does not lead, and ErrOutcomeUnknown when leadership, the context or Run ends before
// the command is known to be committed.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	v, err := g.submit(ctx, request{command: command, interrupted: lab.ErrOutcomeUnknown})
	if err != nil {
		return nil, errors.Newf("propose: %w", err)
	}

	return v, nil
}

// Barrier returns once a quorum has confirmed, after the call, that this instance leads, and everything committed
// before the call is applied here. It returns ErrNotLeader when this instance does not lead or the wait ends before that.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.submit(ctx, request{barrier: true, interrupted: lab.ErrNotLeader})
	if err != nil {
		return errors.Newf("barrier: %w", err)
	}

	return nil
}
