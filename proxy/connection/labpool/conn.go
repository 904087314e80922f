package labpool

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

// drainTimeout bounds the wait for a response that missed its deadline. A statement waits for half of this time at a
// member with 24 statements in its queue. A lost response must not block one of the few connections for longer.
const drainTimeout = 300 * time.Millisecond

// maxPrepared bounds the prepared statements on a connection. A connection with more is reset before its next use.
const maxPrepared = 200

// maxHeldBytes bounds the bytes of session values and prepared statements that a connection remembers between sessions. A
// connection with more is closed when it is released. An ordinary one has maxPrepared statements of a few hundred bytes.
const maxHeldBytes = 128 << 10

// noProof is sent by members in place of a proof.
const noProof = "-"

// Conn is a connection of a pool. At most one session uses it at a time.
type Conn struct {
	pool              *Pool
	connection        lab.MemberConnection
	organisation      string                  // organisation whose statements run on the connection
	values            map[string]string       // session values that the member confirmed
	valuesUnconfirmed bool                    // values were sent but not confirmed, so those at the member are unknown
	preparedNames     map[statementKey]string // names of the prepared statements on this connection, by content
	preparedBytes     int                     // bytes of the texts in preparedNames
	lastUsed          time.Time
	known             lab.CommitPosition // newest position of the member that was known before the next operation is sent
	wrote             bool               // a write has run in the open transaction
	faulted           bool               // a fault was returned that may be a second answer to an earlier operation
	active            bool               // a statement runs or is about to; guarded by the pool's mutex while idle
}

var _ lab.PooledConnection = (*Conn)(nil)

// statementKey identifies a prepared statement by its content.
type statementKey struct {
	writes bool // whether the statement is a write
	text   string
}

// Member returns the member that the connection leads to.
func (c *Conn) Member() lab.Announcement {
	return c.pool.Target
}

// Direct returns true: the connection belongs to this process.
func (*Conn) Direct() bool {
	return true
}

// IdleTime returns the time since the last operation on the connection.
func (c *Conn) IdleTime() time.Duration {
	return time.Since(c.lastUsed)
}

// Run applies the session values to the connection and then sends the operations in one write.
func (c *Conn) Run(
	deadline time.Time, values map[string]string, operations ...lab.Operation,
) ([]lab.OperationResult, error) {
	if err := c.applyValues(deadline, values); err != nil {
		return nil, err
	}

	sent, added := c.addPrepares(operations)
	runs := labsample.Runs(sent)

	if runs {
		c.pool.startStatement(c)
	}

	started := time.Now()
	r, err := c.connection.Run(deadline, sent...)
	c.lastUsed = time.Now()

	acknowledged := c.recordResults(sent, r, err)

	if runs {
		bound := err == nil && r[len(r)-1].Status != lab.StatusIdle
		c.pool.endStatement(c, labsample.New(sent, r, err, c.lastUsed.Sub(started)), bound)
	}

	if err == nil && mustBeInStep(sent, r) {
		if err = c.inStep(deadline); err != nil {
			return nil, err
		}
	}

	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.pool.observe(c, c.lastUsed.Sub(started), acknowledged) // a timeout counts too, otherwise a busy member would seem fast
	}

	if err != nil {
		return nil, err
	}

	return c.withoutAdded(r, added), nil
}

// mustBeInStep reports whether the results may be returned only after the connection was shown to be in step. Without
// that a client could be told that its write has not run although it has, and the next statement of a transaction could
// get the answer to this one. A statement in a failed transaction needs no check, since its connection is closed.
func mustBeInStep(sent []lab.Operation, r []lab.OperationResult) bool {
	for i := range r {
		if r[i].Fault == lab.FaultNone {
			continue
		}

		changes := sent[i].Kind == lab.OperationCommit
		if sent[i].Kind == lab.OperationWrite || (sent[i].Kind == lab.OperationExecute && sent[i].Writes) {
			changes = r[i].Status != lab.StatusFailed
		}

		if (changes && r[i].Fault.NotRun()) || r[len(r)-1].Status == lab.StatusInTransaction {
			return true
		}
	}

	return false
}

// inStep shows that no fault on the connection was a second answer to an earlier operation.
func (c *Conn) inStep(deadline time.Time) error {
	if !c.faulted {
		return nil
	}

	if err := c.connection.InStep(deadline); err != nil {
		_, reason := lab.OutcomeOf(err)

		return lab.UnknownOutcomeError(reason, err)
	}

	c.faulted = false

	return nil
}

// recordResults records the positions in the results of operations that were sent together. If the member acknowledged a
// commit, recordResults returns the position that the member was known to have before the operations were sent: the
// commit is after it, so a replica that has received the commit has everything up to there. The position in the result
// of the commit may include commits of other sessions that no replica has received.
func (c *Conn) recordResults(sent []lab.Operation, r []lab.OperationResult, err error) (acknowledged lab.CommitPosition) {
	if err != nil {
		c.wrote = false // the connection is closed or rolled back

		return lab.CommitPosition{}
	}

	before := c.known

	for i := range r {
		c.faulted = c.faulted || r[i].Fault != lab.FaultNone

		// A log without the known position is not the one in which it was seen.
		if c.commits(sent[i], r[i]) && before.Before(r[i].Position) {
			acknowledged = before
		}

		c.known = c.known.Latest(r[i].Position)
	}

	return acknowledged
}

// commits reports whether the result of an operation proves that the member has committed a write.
func (c *Conn) commits(o lab.Operation, r lab.OperationResult) bool {
	wrote, proven := c.wrote, r.Fault == lab.FaultNone && r.Proof != "" && r.Proof != noProof
	writes := proven && (o.Kind == lab.OperationWrite || (o.Kind == lab.OperationExecute && o.Writes))
	c.wrote = r.Status == lab.StatusInTransaction && (wrote || writes)

	return r.Status == lab.StatusIdle && (writes || (proven && wrote && o.Kind == lab.OperationCommit))
}

// applyValues sets the session values at the member and waits for the confirmation. Without the wait, a statement could
// run with the values of another session.
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
		c.preparedNames, c.preparedBytes = nil, 0
	}

	c.values, c.valuesUnconfirmed = maps.Clone(values), false

	return nil
}

// valueOperations returns the operations that change the connection's session values to the given ones.
func (c *Conn) valueOperations(values map[string]string) []lab.Operation {
	var out []lab.Operation

	current := c.values

	for n := range current {
		if _, ok := values[n]; !ok {
			out = append(out, lab.Operation{Kind: lab.OperationReset})
			current = nil

			break
		}
	}

	if len(out) == 0 && len(c.preparedNames) > maxPrepared {
		out = append(out, lab.Operation{Kind: lab.OperationReset})
		current = nil
	}

	for _, n := range slices.Sorted(maps.Keys(values)) {
		if v, ok := current[n]; !ok || v != values[n] {
			out = append(out, lab.Operation{Kind: lab.OperationSet, Name: n, Argument: values[n]})
		}
	}

	return out
}

// addPrepares inserts a prepare operation before each execution of a statement that is not yet prepared on this
// connection, and returns the indexes of the inserted operations in added. Prepare and execution are sent together: if
// the prepare fails, the member refuses the execution without running anything.
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

// withoutAdded removes the results of the operations that addPrepares inserted. When the member reports that it doesn't
// know a prepared statement, withoutAdded clears preparedNames, so that later executions prepare their statements
// again.
func (c *Conn) withoutAdded(r []lab.OperationResult, added []int) []lab.OperationResult {
	out := r[:0]

	for i := range r {
		if slices.Contains(added, i) {
			continue
		}

		if r[i].Fault == lab.FaultNotPrepared {
			c.preparedNames, c.preparedBytes = nil, 0
		}

		out = append(out, r[i])
	}

	return out
}

// preparedName returns the name of a prepared statement on this connection. If the statement is not prepared yet,
// preparedName also returns the operation that prepares it.
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
	c.preparedBytes += len(text)

	return n, []lab.Operation{{Kind: lab.OperationPrepare, Name: n, Writes: writes, Argument: text}}
}

// Release returns the connection to the pool; no transaction may be open on it. After a fault it does so in the
// background, once the connection was shown to be in step.
func (c *Conn) Release() {
	switch {
	case c.valuesUnconfirmed || c.heldBytes() > maxHeldBytes:
		c.Discard()
	case c.faulted:
		go func() {
			if err := c.inStep(time.Now().Add(drainTimeout)); err != nil {
				c.Discard()

				return
			}

			c.pool.release(c)
		}()
	default:
		c.pool.release(c)
	}
}

// heldBytes returns the bytes of session values and prepared statements that the connection remembers.
func (c *Conn) heldBytes() int {
	size := c.preparedBytes
	for n, v := range c.values {
		size += len(n) + len(v)
	}

	return size
}

// ReleaseAfterDrain waits in the background for responses that missed their deadline, rolls back an open transaction
// and returns the connection to the pool. The connection is not closed, since a new one would occupy a slot of the
// member for longer than the late response does.
func (c *Conn) ReleaseAfterDrain() {
	if c.valuesUnconfirmed {
		c.Discard()

		return
	}

	go func() {
		s, err := c.connection.Drain(time.Now().Add(drainTimeout))
		c.faulted = true // the drained results are not known here

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

// Discard closes the connection; the member rolls back an open transaction.
func (c *Conn) Discard() {
	c.connection.Close()
	c.pool.discard(c)
}
