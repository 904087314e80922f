package labpool

import (
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// scriptedConnection fails the Run calls whose number is listed and records what was sent.
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

func newConn(fails map[int]error) (*Conn, *scriptedConnection) {
	l := &scriptedConnection{idleConnection: idleConnection{closed: new(bool)}, errorByCall: fails}
	share := 1
	p := newPool(&dialer{}, &share)
	p.open, p.inUse = 1, 1

	return &Conn{pool: p, connection: l, lastUsed: time.Now()}, l
}

// TestUnknownValues replays a connection whose session values were sent but not confirmed in time. It went back to the
// pool with the values that it was believed to have, and on rantavahti-rota scale-2 a statement ran with others.
func TestUnknownValues(t *testing.T) {
	late := errors.Newf("read: %w", os.ErrDeadlineExceeded)

	for _, c := range []struct {
		name string
		end  func(c *Conn)
	}{
		{"lingers", (*Conn).ReleaseAfterDrain},
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
