package labbackend

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// lingerTime is how long a late answer is waited for, several times the longest statement and queue of a member.
const lingerTime = 1500 * time.Millisecond

// maxPrepared bounds the prepared statements of a connection; beyond, it is reset.
const maxPrepared = 200

// Conn is a connection in use by one session; it goes back with Release or Discard.
type Conn struct {
	pool   *Pool
	link   lab.MemberLink
	values map[string]string // session values set at the member
	names  map[shape]string  // prepared statements by what they run
	used   time.Time
}

// shape is what a prepared statement runs.
type shape struct {
	writes bool
	text   string
}

// Member returns the member at the other end.
func (c *Conn) Member() lab.Announcement {
	return c.pool.Member
}

// Idle returns how long the connection has not been used.
func (c *Conn) Idle() time.Duration {
	return time.Since(c.used)
}

// Run sends operations in one write; after an error only Discard may follow.
func (c *Conn) Run(deadline time.Time, operations ...lab.Operation) ([]lab.OperationResult, error) {
	started := time.Now()
	r, err := c.link.Run(deadline, operations...)
	c.used = time.Now()

	if err == nil {
		c.pool.observe(c.used.Sub(started))
	}

	return r, err
}

// Adopt returns the operations that give the connection the session values; they must succeed before anything else is
// sent. Adopted confirms that they did.
func (c *Conn) Adopt(values map[string]string) []lab.Operation {
	var out []lab.Operation

	held := c.values

	for n := range held {
		if _, ok := values[n]; !ok {
			out = append(out, lab.Operation{Kind: lab.OperationReset})
			held = nil

			break
		}
	}

	if len(out) == 0 && len(c.names) > maxPrepared {
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

// Adopted notes that the operations of Adopt have succeeded.
func (c *Conn) Adopted(operations []lab.Operation, values map[string]string) {
	if len(operations) == 0 {
		return
	}

	if operations[0].Kind == lab.OperationReset {
		c.names = nil
	}

	c.values = maps.Clone(values)
}

// Prepared returns the connection's name of a prepared statement, and the operation that prepares it if it isn't yet.
// A member that doesn't know the name refuses to execute it without running anything, so both may be sent at once.
func (c *Conn) Prepared(writes bool, text string) (name string, prepare []lab.Operation) {
	s := shape{writes, text}
	if n, ok := c.names[s]; ok {
		return n, nil
	}

	if c.names == nil {
		c.names = map[shape]string{}
	}

	c.pool.mutex.Lock()
	c.pool.named++
	n := fmt.Sprintf("p%d", c.pool.named)
	c.pool.mutex.Unlock()

	c.names[s] = n

	return n, []lab.Operation{{Kind: lab.OperationPrepare, Name: n, Writes: writes, Argument: text}}
}

// Forget drops the names of prepared statements, after the member did not know one.
func (c *Conn) Forget() {
	c.names = nil
}

// Release gives the connection back for other sessions; no transaction may be open on it.
func (c *Conn) Release() {
	c.pool.release(c)
}

// Linger waits in the background for answers that came too late for their caller, rolls back what is open and gives the
// connection back: a new one would keep one of the member's slots longer than the late answer does.
func (c *Conn) Linger() {
	go func() {
		s, err := c.link.Drain(time.Now().Add(lingerTime))
		if err == nil && s != lab.StateIdle {
			var r []lab.OperationResult

			r, err = c.Run(time.Now().Add(lingerTime), lab.Operation{Kind: lab.OperationRollback})
			if err == nil {
				s = r[0].State
			}
		}

		if err != nil || s != lab.StateIdle {
			c.Discard()

			return
		}

		c.Release()
	}()
}

// Discard closes the connection; the member rolls back what is open on it.
func (c *Conn) Discard() {
	c.link.Close()
	c.pool.discard()
}
