package labstandin

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// dropRule closes the connection that executes the next matching statement.
type dropRule struct {
	substring string
	after     bool
}

// Kill closes the listener and all connections; open transactions are lost, committed rows stay.
func (m *Member) Kill() {
	g := m.group
	g.lock.Lock()
	defer g.lock.Unlock()

	if !m.running {
		return
	}

	g.advanceReplication()

	m.running = false
	_ = m.listener.Close()
	m.unfreeze()

	for _, s := range m.sessions {
		s.cancel()
		_ = s.conn.Close()
		m.releaseConnection(s)
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

	if m.group.newestPrimary == m {
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

	if m.thawed == nil && m.running {
		m.group.advanceReplication()
		m.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen member continue with everything that waits.
func (m *Member) Thaw() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.unfreeze()
}

func (m *Member) unfreeze() {
	if m.thawed != nil {
		close(m.thawed)
		m.thawed = nil
	}
}

// Isolate cuts the member off from replication in both directions, or reconnects it; clients still reach it.
func (m *Member) Isolate(isolated bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.group.advanceReplication()
	m.isolated = isolated
}

// MakeConnectionsUnresponsive makes all open connections answer nothing and execute nothing further; new connections work. A silent
// connection keeps its place until its client closes it.
func (m *Member) MakeConnectionsUnresponsive() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	for _, s := range m.sessions {
		s.unresponsive.Store(true)
	}
}

// SetResponseDelay delays each further answer.
func (m *Member) SetResponseDelay(delay time.Duration) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.responseDelay = delay
}

// SetLag sets the time from commit until the replica has received a change, and from there until reads see it.
func (m *Member) SetLag(lag, replay time.Duration) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.group.advanceReplication()
	m.lag, m.replayLag = lag, replay
}

// SetDraining sets whether the member announces that it is leaving.
func (m *Member) SetDraining(draining bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.draining = draining
}

// DropBefore closes the connection that sends the next statement containing match, before executing it.
func (m *Member) DropBefore(substring string) {
	m.setDropRule(&dropRule{substring: substring})
}

// DropAfter closes the connection that sends the next statement containing match, after executing it and, unless it
// belongs to a transaction block, committing it, without an answer.
func (m *Member) DropAfter(substring string) {
	m.setDropRule(&dropRule{substring: substring, after: true})
}

func (m *Member) setDropRule(r *dropRule) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.dropRule = r
}

// consumeDropRule removes and returns the drop rule when it applies to a statement.
func (m *Member) consumeDropRule(st *labsql.Statement) (before, after bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	r := m.dropRule
	if r == nil || st.Internal() || !strings.Contains(st.Raw, r.substring) {
		return false, false
	}

	m.dropRule = nil

	return !r.after, r.after
}
