package labcontrol_test

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// fakeClock is a clock that only the test advances. Sleep returns at once.
type fakeClock struct {
	lock    sync.Mutex
	now     time.Duration
	unblock chan struct{} // if not nil, Sleep waits until it is closed
}

func (c *fakeClock) Now() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.now += d
}

func (c *fakeClock) Wall() time.Time { return time.UnixMilli(0).Add(c.Now()) }

func (c *fakeClock) Sleep(ctx context.Context, _ time.Duration) error {
	if c.unblock != nil {
		<-c.unblock
	}

	return ctx.Err()
}

// replicatedLog applies every proposal at once to the catalogs of all instances, one of which is the leader.
type replicatedLog struct {
	lock         sync.Mutex
	index        uint64
	entries      [][]byte
	replicas     []*labcatalog.Catalog
	leader       lab.InstanceID
	term         uint64
	since        time.Duration
	isolated     bool
	loseResponse bool // the next proposal is committed but fails with lab.ErrOutcomeUnknown
}

// logReplica gives one instance access to the replicated log.
type logReplica struct {
	*replicatedLog
	id      lab.InstanceID
	catalog *labcatalog.Catalog
}

func (lr *logReplica) Propose(_ context.Context, command []byte) (any, error) {
	lr.lock.Lock()
	defer lr.lock.Unlock()
	if lr.isolated || lr.leader != lr.id {
		return nil, lab.ErrNotLeader
	}
	lr.index++
	lr.entries = append(lr.entries, command)
	var result any
	for _, c := range lr.replicas {
		r := c.Apply(lr.index, command)
		if c == lr.catalog {
			result = r
		}
	}
	if lr.loseResponse {
		lr.loseResponse = false

		return nil, lab.ErrOutcomeUnknown
	}

	return result, nil
}

func (lr *logReplica) Barrier(context.Context) error {
	lr.lock.Lock()
	defer lr.lock.Unlock()
	if lr.isolated || lr.leader != lr.id {
		return lab.ErrNotLeader
	}

	return nil
}

func (lr *logReplica) Leadership() lab.Leadership {
	lr.lock.Lock()
	defer lr.lock.Unlock()

	return lab.Leadership{Leader: lr.leader, IsLeader: lr.leader == lr.id, Term: lr.term, Since: lr.since}
}

// isolate makes every instance fail as if it could reach no quorum.
func (l *replicatedLog) isolate() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.isolated = true
}

// elect makes an instance the leader.
func (l *replicatedLog) elect(id lab.InstanceID, now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.leader, l.term, l.since = id, l.term+1, now
}

// fakeRandom returns a fixed sequence of numbers.
type fakeRandom struct {
	lock sync.Mutex
	n    uint64
}

func (r *fakeRandom) Uint64() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.n = r.n*6364136223846793005 + 1442695040888963407

	return r.n >> 11
}

// fakeProber returns member statuses from a map. A member without an entry is unreachable.
type fakeProber struct {
	lock    sync.Mutex
	members map[string]lab.MemberStatus
}

func (p *fakeProber) Status(_ context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	s, ok := p.members[m.Database+"/"+m.Member]
	if !ok {
		return lab.MemberStatus{}, context.DeadlineExceeded
	}
	s.Database, s.Member, s.Reachable = m.Database, m.Member, true

	return s, nil
}

func (p *fakeProber) Promote(ctx context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	s, err := p.Status(ctx, m)
	if err != nil || !s.InRecovery {
		return s, err
	}
	s.InRecovery = false
	s.Replayed = lab.WALPosition{Term: s.Received.Term + 1, Offset: s.Received.Offset}
	s.Received = s.Replayed
	p.set(m.Database+"/"+m.Member, s)

	return s, nil
}

func (p *fakeProber) set(key string, s lab.MemberStatus) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members[key] = s
}

func (p *fakeProber) stop(key string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.members, key)
}
