package labpool

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// drainTimeout is how long a late answer is waited for after its time, twice the wait in a member's queue of 24. An answer
// that is lost must not block one of the few connections for longer.
const drainTimeout = 300 * time.Millisecond

// maxPrepared bounds the prepared statements of a connection; beyond, it is reset.
const maxPrepared = 200

// Conn is a connection in use by one session.
type Conn struct {
	pool              *Pool
	connection        lab.MemberConnection
	values            map[string]string       // session values set at the member
	valuesUnconfirmed bool                    // values were sent and not confirmed, so it is not known which ones the member has
	preparedNames     map[statementKey]string // prepared statements by what they run
	lastUsed          time.Time
}

var _ lab.PooledConnection = (*Conn)(nil)

// statementKey is what a prepared statement runs.
type statementKey struct {
	writes bool
	text   string
}

// Member returns the member at the other end.
func (c *Conn) Member() lab.Announcement {
	return c.pool.Target
}

// Direct is true.
func (*Conn) Direct() bool {
	return true
}

// IdleTime returns how long the connection has not been used.
func (c *Conn) IdleTime() time.Duration {
	return time.Since(c.lastUsed)
}

// Run gives the connection the session values and sends the operations in one write.
func (c *Conn) Run(
	deadline time.Time, values map[string]string, operations ...lab.Operation,
) ([]lab.OperationResult, error) {
	if err := c.applyValues(deadline, values); err != nil {
		return nil, err
	}

	sent, added := c.addPrepares(operations)
	started := time.Now()
	r, err := c.connection.Run(deadline, sent...)
	c.lastUsed = time.Now()

	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.pool.observeLatency(c.lastUsed.Sub(started)) // without the late ones a busy member would seem quick
	}

	if err != nil {
		return nil, err
	}

	return c.withoutAdded(r, added), nil
}

// applyValues waits for the member's word on the session values, since no statement may run with others.
func (c *Conn) applyValues(deadline time.Time, values map[string]string) error {
	operations := c.valueOperations(values)
	if len(operations) == 0 {
		return nil
	}

	c.valuesUnconfirmed = true

	r, err := c.connection.Run(deadline, operations...)
	if err != nil {
		return lab.NotRunError(lab.ReasonConnectionLost, errors.Newf("set session values: %w", err))
	}

	for i := range r {
		if r[i].Fault != lab.FaultNone {
			return lab.NotRunError(lab.ReasonRejected, errors.Newf("set session values: %s %s", r[i].Fault, r[i].Detail))
		}
	}

	if operations[0].Kind == lab.OperationReset {
		c.preparedNames = nil
	}

	c.values, c.valuesUnconfirmed = maps.Clone(values), false

	return nil
}

// valueOperations returns the operations that give the connection the session values.
func (c *Conn) valueOperations(values map[string]string) []lab.Operation {
	var out []lab.Operation

	held := c.values

	for n := range held {
		if _, ok := values[n]; !ok {
			out = append(out, lab.Operation{Kind: lab.OperationReset})
			held = nil

			break
		}
	}

	if len(out) == 0 && len(c.preparedNames) > maxPrepared {
		out = append(out, lab.Operation{Kind: lab.OperationReset})
		held = nil
	}

	for _, n := range slices.Sorted(maps.Keys(values)) {
		if v, ok := held[n]; !ok || v != values[n] {
			out = append(out, lab.Operation{Kind: lab.OperationSet, Name: n, Argument: values[n]})
		}
	}

	return out
}

// addPrepares puts what prepares unknown statements before their execution. A member that doesn't know a statement refuses
// to execute it without running anything, so both may be sent at once. It returns the places of what it added.
func (c *Conn) addPrepares(operations []lab.Operation) (sent []lab.Operation, added []int) {
	for _, o := range operations {
		if o.Kind == lab.OperationExecute {
			var p []lab.Operation

			o.Name, p = c.preparedName(o.Writes, o.PreparedText)
			for range p {
				added = append(added, len(sent))
			}

			sent = append(sent, p...)
		}

		sent = append(sent, o)
	}

	return sent, added
}

// withoutAdded drops the results of added operations, and forgets all names after the member did not know one.
func (c *Conn) withoutAdded(r []lab.OperationResult, added []int) []lab.OperationResult {
	out := r[:0]

	for i := range r {
		if slices.Contains(added, i) {
			continue
		}

		if r[i].Fault == lab.FaultNotPrepared {
			c.preparedNames = nil
		}

		out = append(out, r[i])
	}

	return out
}

// preparedName returns the connection's name of a prepared statement, and the operation that prepares it if it isn't yet.
func (c *Conn) preparedName(writes bool, text string) (name string, prepare []lab.Operation) {
	s := statementKey{writes, text}
	if n, ok := c.preparedNames[s]; ok {
		return n, nil
	}

	if c.preparedNames == nil {
		c.preparedNames = map[statementKey]string{}
	}

	c.pool.mutex.Lock()
	c.pool.preparedCount++
	n := fmt.Sprintf("p%d", c.pool.preparedCount)
	c.pool.mutex.Unlock()

	c.preparedNames[s] = n

	return n, []lab.Operation{{Kind: lab.OperationPrepare, Name: n, Writes: writes, Argument: text}}
}

// Release gives the connection back for other sessions; no transaction may be open on it.
func (c *Conn) Release() {
	if c.valuesUnconfirmed {
		c.Discard()

		return
	}

	c.pool.release(c)
}

// ReleaseAfterDrain waits in the background for answers that came too late for their caller, rolls back what is open and gives the
// connection back: a new one would keep one of the member's slots longer than the late answer does.
func (c *Conn) ReleaseAfterDrain() {
	if c.valuesUnconfirmed {
		c.Discard()

		return
	}

	go func() {
		s, err := c.connection.Drain(time.Now().Add(drainTimeout))
		if err == nil && s != lab.StatusIdle {
			var r []lab.OperationResult

			r, err = c.connection.Run(time.Now().Add(drainTimeout), lab.Operation{Kind: lab.OperationRollback})
			if err == nil {
				s = r[0].Status
			}
		}

		if err != nil || s != lab.StatusIdle {
			c.Discard()

			return
		}

		c.Release()
	}()
}

// Discard closes the connection; the member rolls back what is open on it.
func (c *Conn) Discard() {
	c.connection.Close()
	c.pool.discard()
}
