package labtypedsession

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

var errConnectionLost = errors.New("connection lost")

// fakeService is a group of fake members.
type fakeService struct {
	mutex    sync.Mutex
	primary  string
	dialed   map[string]int // number of dials by member
	executed []executedOperation
	// script is called for each operation. A fault or an error that it returns replaces the result of the operation.
	script func(member string, o lab.Operation) (lab.OperationResult, error)
}

// executedOperation is an operation that a member received.
type executedOperation struct {
	member      string
	kind        lab.OperationKind
	requestID   string
	minPosition lab.CommitPosition
	values      int                   // number of session values set on the connection
	status      lab.TransactionStatus // transaction status before the operation
}

type fakeConnection struct {
	service  *fakeService
	member   string
	open     bool
	values   map[string]string
	prepared map[string]bool
}

func (s *fakeService) Dial(_ context.Context, m lab.Announcement, _ string) (lab.MemberConnection, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.dialed == nil {
		s.dialed = map[string]int{}
	}

	s.dialed[m.Member]++

	return &fakeConnection{service: s, member: m.Member, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

func (*fakeService) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errConnectionLost
}

func (l *fakeConnection) Run(_ time.Time, operations ...lab.Operation) ([]lab.OperationResult, error) {
	l.service.mutex.Lock()
	defer l.service.mutex.Unlock()

	var out []lab.OperationResult

	for _, o := range operations {
		r, err := l.runOne(o)
		if err != nil {
			return out, err
		}

		out = append(out, r)
	}

	return out, nil
}

func (l *fakeConnection) runOne(o lab.Operation) (lab.OperationResult, error) {
	s := l.service
	s.executed = append(s.executed,
		executedOperation{l.member, o.Kind, o.RequestID, o.MinPosition, len(l.values), l.status()})

	r := lab.OperationResult{Proof: "p", Position: lab.CommitPosition{Term: 1, Number: 7}}

	if s.script != nil {
		f, err := s.script(l.member, o)
		if err != nil || f.Fault != lab.FaultNone {
			f.Status = l.status()

			return f, err
		}
	}

	switch o.Kind {
	case lab.OperationBegin:
		if !o.ReadOnly && l.member != s.primary {
			r.Fault = lab.FaultReadOnly
		} else {
			l.open = true
		}
	case lab.OperationCommit, lab.OperationRollback:
		l.open = false
	case lab.OperationSet:
		l.values[o.Name] = o.Argument
	case lab.OperationReset:
		l.values, l.prepared = map[string]string{}, map[string]bool{}
	case lab.OperationPrepare:
		l.prepared[o.Name] = true
	case lab.OperationExecute:
		if !l.prepared[o.Name] {
			r.Fault = lab.FaultNotPrepared
		}
	case lab.OperationWrite:
		if l.member != s.primary {
			r.Fault = lab.FaultReadOnly
		}
	default:
	}

	r.Status = l.status()

	return r, nil
}

func (l *fakeConnection) status() lab.TransactionStatus {
	if l.open {
		return lab.StatusInTransaction
	}

	return lab.StatusIdle
}

func (*fakeConnection) Drain(time.Time) (lab.TransactionStatus, error) { return 0, errConnectionLost }
func (*fakeConnection) InStep(time.Time) error                         { return nil }
func (*fakeConnection) Alive() bool                                    { return true }
func (*fakeConnection) Close()                                         {}

// statements returns the clients' statements that members received, without the operations that the proxy added.
func (s *fakeService) statements() []executedOperation {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	var out []executedOperation

	for _, r := range s.executed {
		if r.requestID != "" {
			out = append(out, r)
		}
	}

	return out
}

// fixture holds a session on a service whose primary is the member a and whose replicas are b and c.
type fixture struct {
	t         *testing.T
	service   *fakeService
	directory *labdirectory.Directory
	session   *Session
	revision  uint64 // number of the newest list of permissions
}

const testTimeout = 400 * time.Millisecond

func newFixture(t *testing.T, kind lab.Consistency) *fixture {
	t.Helper()

	s := &fakeService{primary: "a"}
	d := &labdirectory.Directory{
		AvailabilityZone: "z", Region: "west", Dialer: s, Random: labrandom.NewSeeded(1),
		Clock: labclock.NewBootClock(), Log: zerolog.Nop(),
		OnPrimaryUnreachable: func() {},
	}
	f := &fixture{t: t, service: s, directory: d}

	d.Install(&lab.Configuration{
		Version: 1, IdleTransactionTimeout: time.Second,
		Services: []lab.Service{{Name: "s", MaxConnections: 24, SyncReplicas: 1}},
		Routes: []lab.Route{{
			Database: "db", Service: "s", Consistency: kind, StatementTimeout: testTimeout, MaxStaleness: 2 * time.Second,
		}},
	})

	var members []lab.Announcement
	for _, m := range []string{"a", "b", "c"} {
		members = append(members, lab.Announcement{
			Database: "s", Member: m, Address: "127.0.0.1:1", AvailabilityZone: map[string]string{"b": "z"}[m],
			Region: "west", Incarnation: 1,
		})
	}

	d.UpdateMembers(members, map[string]string{"s": "a"}, true)

	f.grant("a")

	f.session = f.newSession()

	return f
}

func (f *fixture) newSession() *Session {
	return &Session{
		Database: "db", Directory: f.directory, Clock: f.directory.Clock, Log: zerolog.Nop(),
		Counters: &Counters{Latency: labmetrics.NewHistogram()},
	}
}

// grant permits commits at the given member only. Without a member, it permits none.
func (f *fixture) grant(members ...string) {
	f.revision++

	g := lab.PermissionGrant{Revision: lab.PermissionRevision{Term: 1, Number: f.revision}, ValidFor: time.Minute}
	for _, m := range members {
		g.Permissions = append(g.Permissions, lab.CommitPermission{Service: "s", Member: m})
	}

	f.directory.UpdatePermissions(g, f.directory.Clock.Now())
}

// recordPosition records a position of the primary with the current time as the time of the request.
func (f *fixture) recordPosition(number uint64) {
	f.directory.PrimaryHistory("s").Record(f.directory.Clock.Now(), lab.CommitPosition{Term: 1, Number: number})
}

func (f *fixture) do(kind lab.OperationKind, change ...func(*lab.Operation)) lab.OperationResult {
	f.t.Helper()

	o := lab.Operation{Kind: kind, RequestID: "q", Text: "text"}
	for _, c := range change {
		c(&o)
	}

	return f.session.Do(o)
}

func (f *fixture) assertExecuted(want ...executedOperation) {
	f.t.Helper()

	got := f.service.statements()
	assert.Equal(f.t, len(got), len(want), "%v", got)

	for i, w := range want {
		assert.Equal(f.t, got[i].member, w.member, "%v", got)
		assert.Equal(f.t, got[i].minPosition, w.minPosition, "%v", got)
		assert.Equal(f.t, got[i].status, w.status, "%v", got)
	}
}
