package labpool

import (
	"os"
	"strings"
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

// memberScript answers each operation with the next result, and fails when there is none.
type memberScript struct {
	idleConnection

	results []lab.OperationResult
	err     error
}

func (l *memberScript) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	if len(l.results) < len(o) {
		return nil, l.err
	}

	out := l.results[:len(o):len(o)]
	l.results = l.results[len(o):]

	return out, nil
}

func at(term, number uint64) lab.CommitPosition {
	return lab.CommitPosition{Term: term, Number: number}
}

// TestAcknowledged guards against a bound that no replica need have reached: candidates with every acknowledged commit
// would be refused.
func TestAcknowledged(t *testing.T) {
	const (
		idle   = lab.StatusIdle
		open   = lab.StatusInTransaction
		failed = lab.StatusFailed
	)

	operation := func(k lab.OperationKind) lab.Operation { return lab.Operation{Kind: k} }
	begin, commit, read := operation(lab.OperationBegin), operation(lab.OperationCommit), operation(lab.OperationRead)
	write, rollback := operation(lab.OperationWrite), operation(lab.OperationRollback)
	execute := lab.Operation{Kind: lab.OperationExecute, Writes: true, Name: "p", PreparedText: "x"}
	query := lab.Operation{Kind: lab.OperationExecute, Name: "p", PreparedText: "x"}
	success := func(s lab.TransactionStatus, p lab.CommitPosition) lab.OperationResult {
		return lab.OperationResult{Proof: "proof", Status: s, Position: p}
	}
	unproven := func(s lab.TransactionStatus, p lab.CommitPosition) lab.OperationResult {
		return lab.OperationResult{Proof: noProof, Status: s, Position: p}
	}
	refusal := func(f lab.Fault, s lab.TransactionStatus, p lab.CommitPosition) lab.OperationResult {
		return lab.OperationResult{Fault: f, Proof: "proof", Status: s, Position: p}
	}

	for _, c := range []struct {
		name       string
		operations []lab.Operation // each is sent after the response to the one before
		results    []lab.OperationResult
		want       lab.CommitPosition
	}{
		{"write", []lab.Operation{write}, []lab.OperationResult{success(idle, at(1, 9))}, at(1, 5)},
		{
			"second write",
			[]lab.Operation{write, write},
			[]lab.OperationResult{success(idle, at(1, 9)), success(idle, at(1, 10))},
			at(1, 9),
		},
		{"read", []lab.Operation{read}, []lab.OperationResult{success(idle, at(1, 9))}, at(0, 0)},
		{"write without proof", []lab.Operation{write}, []lab.OperationResult{unproven(idle, at(1, 9))}, at(0, 0)},
		{
			"write with an empty proof",
			[]lab.Operation{write},
			[]lab.OperationResult{{Status: idle, Position: at(1, 9)}},
			at(0, 0),
		},
		{"write that failed", []lab.Operation{write}, []lab.OperationResult{refusal(lab.FaultFailed, idle, at(1, 9))}, at(0, 0)},
		{"write without a response", []lab.Operation{write}, nil, at(0, 0)},
		{"prepared write", []lab.Operation{execute}, []lab.OperationResult{unproven(idle, at(1, 6)), success(idle, at(1, 9))}, at(1, 5)},
		{"prepared read", []lab.Operation{query}, []lab.OperationResult{unproven(idle, at(1, 5)), success(idle, at(1, 9))}, at(0, 0)},
		{
			"transaction",
			[]lab.Operation{begin, write, commit},
			[]lab.OperationResult{unproven(open, at(1, 6)), success(open, at(1, 7)), success(idle, at(1, 9))},
			at(1, 7),
		},
		{
			"transaction with a prepared write",
			[]lab.Operation{begin, execute, commit},
			[]lab.OperationResult{
				unproven(open, at(1, 6)), unproven(open, at(1, 6)), success(open, at(1, 7)), success(idle, at(1, 9)),
			},
			at(1, 7),
		},
		{
			"transaction that is still open",
			[]lab.Operation{begin, write},
			[]lab.OperationResult{unproven(open, at(1, 6)), success(open, at(1, 7))},
			at(0, 0),
		},
		{
			"transaction that wrote nothing",
			[]lab.Operation{begin, read, commit},
			[]lab.OperationResult{unproven(open, at(1, 6)), success(open, at(1, 7)), success(idle, at(1, 9))},
			at(0, 0),
		},
		{
			"transaction that was rolled back",
			[]lab.Operation{begin, write, rollback},
			[]lab.OperationResult{unproven(open, at(1, 6)), success(open, at(1, 7)), success(idle, at(1, 9))},
			at(0, 0),
		},
		{
			"commit of a transaction that has failed",
			[]lab.Operation{begin, write, read, commit},
			[]lab.OperationResult{
				unproven(open, at(1, 6)), success(open, at(1, 7)), refusal(lab.FaultFailed, failed, at(1, 7)),
				success(idle, at(1, 9)),
			},
			at(0, 0),
		},
		{
			"commit after a transaction that was rolled back",
			[]lab.Operation{begin, write, rollback, begin, commit},
			[]lab.OperationResult{
				unproven(open, at(1, 6)), success(open, at(1, 7)), unproven(idle, at(1, 7)), unproven(open, at(1, 8)),
				success(idle, at(1, 9)),
			},
			at(0, 0),
		},
		{
			"commit that is refused, then sent again",
			[]lab.Operation{begin, write, commit, commit},
			[]lab.OperationResult{
				unproven(open, at(1, 6)), success(open, at(1, 7)), refusal(lab.FaultBusy, open, at(1, 8)),
				success(idle, at(1, 9)),
			},
			at(1, 8),
		},
		{
			"commit without a response",
			[]lab.Operation{begin, write, commit},
			[]lab.OperationResult{unproven(open, at(1, 6)), success(open, at(1, 7))},
			at(0, 0),
		},
		{"log without the known position", []lab.Operation{write}, []lab.OperationResult{success(idle, at(1, 4))}, at(0, 0)},
		{"term that went back", []lab.Operation{write}, []lab.OperationResult{success(idle, at(0, 9))}, at(0, 0)},
		{"first write of a new term", []lab.Operation{write}, []lab.OperationResult{success(idle, at(2, 3))}, at(1, 5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, _ := newConn(nil)
			n.connection = &memberScript{idleConnection{closed: new(bool)}, c.results, errDown}
			n.known = at(1, 5)

			for _, o := range c.operations {
				_, _ = n.Run(time.Now().Add(time.Second), nil, o)
			}

			assert.Equal(t, n.pool.Acknowledged(), c.want)
		})
	}

	t.Run("positions of other connections", func(t *testing.T) {
		n, _ := newConn(nil)
		n.connection = &memberScript{idleConnection{closed: new(bool)}, []lab.OperationResult{success(idle, at(1, 5))}, errDown}

		other, _ := newConn(nil)
		other.pool = n.pool
		other.connection = &memberScript{idleConnection{closed: new(bool)}, []lab.OperationResult{success(idle, at(1, 9))}, errDown}
		other.Release()

		_, _ = n.Run(time.Now().Add(time.Second), nil, read)

		acquired, err := n.pool.Acquire(t.Context(), lab.AcquireRequest{})
		assert.NilError(t, err)

		_, _ = acquired.Run(time.Now().Add(time.Second), nil, write)
		assert.Equal(t, n.pool.Acknowledged(), at(1, 5))
	})

	t.Run("positions of a former incarnation", func(t *testing.T) {
		former, _ := newConn(nil)
		former.connection = &memberScript{idleConnection{closed: new(bool)}, []lab.OperationResult{success(idle, at(1, 5))}, errDown}
		_, _ = former.Run(time.Now().Add(time.Second), nil, read)

		n, _ := newConn(nil)
		n.connection = &memberScript{idleConnection{closed: new(bool)}, []lab.OperationResult{success(idle, at(1, 9))}, errDown}
		_, _ = n.Run(time.Now().Add(time.Second), nil, write)
		assert.Equal(t, n.pool.Acknowledged(), at(0, 0))
	})

	t.Run("transaction that was abandoned with its response outstanding", func(t *testing.T) {
		n, _ := newConn(nil)
		n.known = at(1, 5)
		l := &memberScript{idleConnection{closed: new(bool)}, []lab.OperationResult{success(open, at(1, 7))}, os.ErrDeadlineExceeded}
		n.connection = l

		_, _ = n.Run(time.Now().Add(time.Second), nil, write)
		_, err := n.Run(time.Now().Add(time.Second), nil, read)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

		l.results = []lab.OperationResult{success(idle, at(1, 9))}
		_, _ = n.Run(time.Now().Add(time.Second), nil, commit)
		assert.Equal(t, n.pool.Acknowledged(), at(0, 0))
	})
}

func BenchmarkRun(b *testing.B) {
	l := &scriptedWrite{results: []lab.OperationResult{{Proof: "proof", Status: lab.StatusIdle}}}
	limit := 1
	p := newPool(&dialer{}, &limit)
	n := &Conn{pool: p, connection: l, lastUsed: time.Now()}
	p.open, p.inUse = 1, 1
	n.Release()

	b.ReportAllocs()

	for b.Loop() {
		c, err := p.Acquire(b.Context(), lab.AcquireRequest{})
		if err != nil {
			b.Fatal(err)
		}

		l.results[0].Position.Number++

		_, _ = c.Run(time.Time{}, nil, lab.Operation{Kind: lab.OperationWrite})
		c.Release()
	}
}

// scriptedWrite returns the same results from each call.
type scriptedWrite struct {
	idleConnection

	results []lab.OperationResult
}

func (l *scriptedWrite) Run(time.Time, ...lab.Operation) ([]lab.OperationResult, error) {
	return l.results, nil
}

// TestHeldBytes guards against pooled connections that keep large session values and prepared statements of sessions that
// have ended.
func TestHeldBytes(t *testing.T) {
	large := strings.Repeat("x", maxHeldBytes+1)

	for _, c := range []struct {
		name      string
		values    map[string]string
		operation lab.Operation
		closed    bool
	}{
		{"ordinary", map[string]string{"v": "1"}, lab.Operation{Kind: lab.OperationExecute, PreparedText: "q"}, false},
		{"large value", map[string]string{"v": large}, lab.Operation{Kind: lab.OperationRead}, true},
		{"large statement", nil, lab.Operation{Kind: lab.OperationExecute, PreparedText: large}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, l := newConn(nil)

			_, err := n.Run(time.Now().Add(time.Second), c.values, c.operation)
			assert.NilError(t, err)
			n.Release()
			assert.Equal(t, *l.closed, c.closed)
		})
	}
}
