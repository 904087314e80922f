package labpool

import (
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// scriptedConnection records the operations that are sent. It returns the errors in errorByCall from the calls of Run
// with these numbers, counted from 1.
type scriptedConnection struct {
	idleConnection

	errorByCall map[int]error
	sent        [][]lab.Operation
}

func (l *scriptedConnection) Run(deadline time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	l.sent = append(l.sent, o)

	if err := l.errorByCall[len(l.sent)]; err != nil {
		return nil, err
	}

	return l.idleConnection.Run(deadline, o...)
}

func newConn(errorByCall map[int]error) (*Conn, *scriptedConnection) {
	l := &scriptedConnection{idleConnection: idleConnection{closed: new(bool)}, errorByCall: errorByCall}
	limit := 1
	p := newPool(&dialer{}, &limit)
	p.open, p.inUse = 1, 1

	return &Conn{pool: p, connection: l, lastUsed: time.Now()}, l
}

// TestUnknownValues guards against reuse of a connection whose session values were sent but not confirmed in time. Such
// a connection returned to the pool with its old values recorded, and a statement of another session ran with the wrong
// values. This was observed in the scenario scale-2 of the deployment rantavahti-rota.
func TestUnknownValues(t *testing.T) {
	late := errors.Newf("read: %w", os.ErrDeadlineExceeded)

	for _, c := range []struct {
		name string
		end  func(c *Conn)
	}{
		{"released after drain", (*Conn).ReleaseAfterDrain},
		{"released", (*Conn).Release},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, l := newConn(map[int]error{1: late})

			_, err := n.Run(time.Now().Add(time.Second), map[string]string{"v": "1"}, lab.Operation{Kind: lab.OperationRead})
			o, _ := lab.OutcomeOf(err)
			assert.Equal(t, o, lab.OutcomeNotRun)
			assert.Equal(t, len(l.sent), 1, "the statement was not sent")

			c.end(n)
			time.Sleep(30 * time.Millisecond)
			assert.Assert(t, *l.closed)
			assert.Equal(t, len(n.pool.idle), 0)
		})
	}
}

func TestReleaseAfterDrain(t *testing.T) {
	late := errors.Newf("read: %w", os.ErrDeadlineExceeded)
	n, l := newConn(map[int]error{1: late})

	_, err := n.Run(time.Now().Add(time.Second), nil, lab.Operation{Kind: lab.OperationRead})
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.ReleaseAfterDrain()
	time.Sleep(30 * time.Millisecond)

	n.pool.mutex.Lock()
	defer n.pool.mutex.Unlock()

	assert.Assert(t, !*l.closed)
	assert.Equal(t, len(n.pool.idle), 1)
}
