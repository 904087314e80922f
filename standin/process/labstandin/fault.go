package labstandin

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// dropRule closes the connection that executes the next matching statement.
type dropRule struct {
	match string
	after bool
}

// Kill closes the listener and all connections; open transactions are lost, committed rows stay.
func (m *Member) Kill() {
	g := m.group
	g.lock.Lock()
	defer g.lock.Unlock()

	if !m.running {
		return
	}

	g.advance()

	m.running = false
	_ = m.listener.Close()
	m.unfreeze()

	for _, s := range m.sessions {
		s.cancel()
		_ = s.conn.Close()
		m.release(s)
	}

	m.sessions = nil
}

// Restart starts a killed or running member in its last role under a new incarnation. A superseded primary starts as
// the primary of its old timeline.
func (m *Member) Restart() error {
	m.Kill()

	if err := m.open(); err != nil {
		return errors.Newf("restart member: %w", err)
	}

	return nil
}

// Rejoin starts the member as a replica of the newest primary. With rewind it first drops what that primary's log does
// not contain; without, a divergent member stays where it is and never streams.
func (m *Member) Rejoin(rewind bool) error {
	m.Kill()
	m.group.lock.Lock()

	if m.group.newest == m {
		m.group.lock.Unlock()
		return errors.New("the newest primary cannot become a replica")
	}

	m.recovery = true

	if rewind {
		m.rewind()
	}

	m.group.lock.Unlock()

	return m.Restart()
}

// Promote makes a replica the primary of the next timeline, as pg_promote does.
func (m *Member) Promote() error {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	if !m.running {
		return errors.New("the member is not running")
	}

	return m.promote()
}

// Freeze stops the member from accepting, answering, executing and replicating until Thaw.
func (m *Member) Freeze() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	if m.thaw == nil && m.running {
		m.group.advance()
		m.thaw = make(chan struct{})
	}
}

// Thaw lets a frozen member continue with everything that waits.
func (m *Member) Thaw() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.unfreeze()
}

func (m *Member) unfreeze() {
	if m.thaw != nil {
		close(m.thaw)
		m.thaw = nil
	}
}

// Isolate cuts the member off from replication in both directions, or reconnects it; clients still reach it.
func (m *Member) Isolate(isolated bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.group.advance()
	m.isolated = isolated
}

// Silence makes all open connections answer nothing and execute nothing further; new connections work. A silent
// connection keeps its place until its client closes it.
func (m *Member) Silence() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	for _, s := range m.sessions {
		s.silent.Store(true)
	}
}

// SetDelay delays each further answer.
func (m *Member) SetDelay(delay time.Duration) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.delay = delay
}

// SetLag sets the time from commit until the replica has received a change, and from there until reads see it.
func (m *Member) SetLag(lag, replay time.Duration) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.group.advance()
	m.lag, m.replayLag = lag, replay
}

// SetLeaving sets whether the member announces that it is leaving.
func (m *Member) SetLeaving(leaving bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.leaving = leaving
}

// DropBefore closes the connection that sends the next statement containing match, before executing it.
func (m *Member) DropBefore(match string) {
	m.setDrop(&dropRule{match: match})
}

// DropAfter closes the connection that sends the next statement containing match, after executing it and, unless it
// belongs to a transaction block, committing it, without an answer.
func (m *Member) DropAfter(match string) {
	m.setDrop(&dropRule{match: match, after: true})
}

func (m *Member) setDrop(r *dropRule) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.drop = r
}

// takeDrop removes and returns the drop rule when it applies to a statement.
func (m *Member) takeDrop(st *labsql.Statement) (before, after bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	r := m.drop
	if r == nil || st.Internal() || !strings.Contains(st.Raw, r.match) {
		return false, false
	}

	m.drop = nil

	return !r.after, r.after
}
