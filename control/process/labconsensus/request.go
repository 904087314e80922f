package labconsensus

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// request is an operation for the goroutine that executes Run. Exactly one of command, change and barrier is set.
type request struct {
	command        []byte
	term           uint64 // consensus term in which command may be proposed, 0 for any
	change         *labreplica.Change
	barrier        bool
	interruptedErr error // error that submit returns when the context or Run ends before there is a result
	done           chan result
}

type result struct {
	value any
	err   error
}

// waiter is a request that the replica has accepted and that waits for its result.
type waiter struct {
	term uint64 // consensus term in which the request was accepted
	done chan<- result
}

func (w waiter) complete(value any, err error) {
	w.done <- result{value, err}
}

// handle passes a request to the replica. It is called by Run's goroutine only.
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

	if c.term != 0 && c.term != g.replica.Term() {
		c.done <- result{err: lab.ErrNotLeader}

		return
	}

	i, t, err := g.replica.Propose(g.Clock.Now(), c.command)
	g.addWaiter(g.waiters, c, i, t, err)
}

// addWaiter registers a request as waiting, or completes it if the replica returned an error.
func (g *Group) addWaiter(waiters map[uint64]waiter, c request, key, term uint64, err error) {
	if err != nil {
		c.done <- result{err: err}

		return
	}

	waiters[key] = waiter{term, c.done}
}

// submit passes a request to Run's goroutine and waits for the result. If it fails before Run's goroutine has received
// the request, nothing was proposed.
func (g *Group) submit(ctx context.Context, c request) (any, error) {
	g.initialize()
	c.done = make(chan result, 1)

	select {
	case g.requests <- c:
	case <-ctx.Done():
		return nil, errors.Newf("queue request: %w", ctx.Err())
	case <-g.stopped:
		return nil, lab.ErrNotLeader
	}

	select {
	case r := <-c.done:
		return r.value, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", c.interruptedErr, ctx.Err()) // errors.Newf wraps one error only
	case <-g.stopped:
		return nil, c.interruptedErr
	}
}

// Propose appends a command to the replicated log. It returns the state machine's result once the command is committed
// and applied at this instance. It returns ErrNotLeader when this instance is not the leader, and ErrOutcomeUnknown
// when its leadership, the context or Run ends before the command is known to be committed.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	v, err := g.submit(ctx, request{command: command, interruptedErr: lab.ErrOutcomeUnknown})
	if err != nil {
		return nil, errors.Newf("propose: %w", err)
	}

	return v, nil
}

// ProposeInTerm is like Propose, but returns ErrNotLeader unless the consensus term is the given one. A command that rests on
// what this instance did as the leader of a term must not be appended after another instance has led.
func (g *Group) ProposeInTerm(ctx context.Context, term uint64, command []byte) (any, error) {
	v, err := g.submit(ctx, request{command: command, term: term, interruptedErr: lab.ErrOutcomeUnknown})
	if err != nil {
		return nil, errors.Newf("propose in term %d: %w", term, err)
	}

	return v, nil
}

// Barrier returns once two conditions hold: a quorum has confirmed after the call that this instance is the leader, and
// this instance has applied all entries that were committed before the call. It returns ErrNotLeader when this instance
// is not the leader, or when its leadership, the context or Run ends first.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.submit(ctx, request{barrier: true, interruptedErr: lab.ErrNotLeader})
	if err != nil {
		return errors.Newf("barrier: %w", err)
	}

	return nil
}
