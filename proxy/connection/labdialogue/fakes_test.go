package labdialogue

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

var errGone = errors.New("connection lost")

// service is a group of fake members; the script decides what a member answers.
type service struct {
	mutex   sync.Mutex
	primary string
	dialed  map[string]int
	ran     []run
	script  func(member string, o lab.Operation) (lab.OperationResult, error)
}

// run is one operation as a member saw it.
type run struct {
	member string
	kind   lab.OperationKind
	id     string
	after  lab.CommitPosition
	values int // session values at that time
	state  lab.TransactionStatus
}

type fakeLink struct {
	service *service
	member  string
	open    bool
	values  map[string]string
	names   map[string]bool
}

func (s *service) Dial(_ context.Context, m lab.Announcement) (lab.MemberConnection, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.dialed == nil {
		s.dialed = map[string]int{}
	}

	s.dialed[m.Member]++

	return &fakeLink{service: s, member: m.Member, values: map[string]string{}, names: map[string]bool{}}, nil
}

func (*service) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errGone
}

func (l *fakeLink) Run(_ time.Time, operations ...lab.Operation) ([]lab.OperationResult, error) {
	l.service.mutex.Lock()
	defer l.service.mutex.Unlock()

	var out []lab.OperationResult

	for _, o := range operations {
		r, err := l.one(o)
		if err != nil {
			return out, err
		}

		out = append(out, r)
	}

	return out, nil
}

func (l *fakeLink) one(o lab.Operation) (lab.OperationResult, error) {
	s := l.service
	s.ran = append(s.ran, run{l.member, o.Kind, o.RequestID, o.MinPosition, len(l.values), l.state()})

	r := lab.OperationResult{Proof: "p", Position: lab.CommitPosition{Term: 1, Number: 7}}

	if s.script != nil {
		f, err := s.script(l.member, o)
		if err != nil || f.Fault != lab.FaultNone {
			f.Status = l.state()

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
		l.values, l.names = map[string]string{}, map[string]bool{}
	case lab.OperationPrepare:
		l.names[o.Name] = true
	case lab.OperationExecute:
		if !l.names[o.Name] {
			r.Fault = lab.FaultNotPrepared
		}
	case lab.OperationWrite:
		if l.member != s.primary {
			r.Fault = lab.FaultReadOnly
		}
	default:
	}

	r.Status = l.state()

	return r, nil
}

func (l *fakeLink) state() lab.TransactionStatus {
	if l.open {
		return lab.StatusInTransaction
	}

	return lab.StatusIdle
}

func (*fakeLink) Drain(time.Time) (lab.TransactionStatus, error) { return 0, errGone }
func (*fakeLink) Alive() bool                                    { return true }
func (*fakeLink) Close()                                         {}

// statements returns what callers' statements ran where, without the system's own.
func (s *service) statements() []run {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	var out []run

	for _, r := range s.ran {
		if r.id != "" {
			out = append(out, r)
		}
	}

	return out
}

// bench holds a session on a service of the primary a and the replicas b and c.
type bench struct {
	t         *testing.T
	service   *service
	directory *labdirectory.Directory
	session   *Session
}

const testTimeout = 400 * time.Millisecond

func newBench(t *testing.T, kind lab.Consistency) *bench {
	t.Helper()

	s := &service{primary: "a"}
	d := &labdirectory.Directory{
		Zone: "z", Region: "west", Dialer: s, Random: labrandom.NewSeeded(1), Clock: labclock.NewBootClock(), Log: zerolog.Nop(),
		Suspect: func() {},
	}
	b := &bench{t: t, service: s, directory: d}

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

	d.Learn(members, map[string]string{"s": "a"}, true)

	b.session = b.open()

	return b
}

func (b *bench) open() *Session {
	return &Session{
		Database: "db", Directory: b.directory, Clock: b.directory.Clock, Log: zerolog.Nop(),
		Counters: &Counters{Latency: labmetrics.NewHistogram()},
	}
}

// fresh makes the primary's position known as of now.
func (b *bench) fresh(number uint64) {
	b.directory.Frontier("s").Record(b.directory.Clock.Now(), lab.CommitPosition{Term: 1, Number: number})
}

func (b *bench) do(kind lab.OperationKind, change ...func(*lab.Operation)) lab.OperationResult {
	b.t.Helper()

	o := lab.Operation{Kind: kind, RequestID: "q", Text: "text"}
	for _, c := range change {
		c(&o)
	}

	return b.session.Do(o)
}

func (b *bench) assertRan(want ...run) {
	b.t.Helper()

	got := b.service.statements()
	assert.Equal(b.t, len(got), len(want), "%v", got)

	for i, w := range want {
		assert.Equal(b.t, got[i].member, w.member, "%v", got)
		assert.Equal(b.t, got[i].after, w.after, "%v", got)
		assert.Equal(b.t, got[i].state, w.state, "%v", got)
	}
}
