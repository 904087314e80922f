package labstandin

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// dropRule closes the connection that sends the next statement whose text contains a substring.
type dropRule struct {
	substring string
	after     bool // whether to close the connection after executing the statement instead of before
}

// Kill closes the listener and all connections. Open transactions are lost; committed rows remain.
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

// Restart starts a killed member, or stops and starts a running one, in the role that it had last. The member has a
// new incarnation. A superseded primary starts as the primary of its old timeline.
func (m *Member) Restart() error {
	m.Kill()

	if err := m.open(); err != nil {
		return errors.Newf("restart member: %w", err)
	}

	return nil
}

// Rejoin starts the member as a replica of the newest primary. With rewind, it first drops the WAL records that the
// primary does not have. Without rewind, a member that has diverged keeps its records and does not replicate.
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

// Freeze stops the member until Thaw. A frozen member does not respond on open or new connections, does not execute
// statements and does not replicate.
func (m *Member) Freeze() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	if m.thawed == nil && m.running {
		m.group.advanceReplication()
		m.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen member continue. The member then handles the requests that it received while it was frozen.
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

// Isolate stops or resumes replication from and to the member. Clients can connect to an isolated member.
func (m *Member) Isolate(isolated bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.group.advanceReplication()
	m.isolated = isolated
}

// MakeConnectionsUnresponsive makes all open connections stop responding and executing statements; new connections
// work. An unresponsive connection counts towards the connection limit until its client closes it.
func (m *Member) MakeConnectionsUnresponsive() {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	for _, s := range m.sessions {
		s.unresponsive.Store(true)
	}
}

// SetResponseDelay sets the delay before the member sends a response.
func (m *Member) SetResponseDelay(delay time.Duration) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.responseDelay = delay
}

// SetLag sets the two delays of replication. The first, lag, is the time from a commit on the primary until the member
// has received the change. The second, replay, is the time from receiving the change until reads on the member see it.
func (m *Member) SetLag(lag, replay time.Duration) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.group.advanceReplication()
	m.lag, m.replayLag = lag, replay
}

// SetDraining sets whether the member announces that it is draining.
func (m *Member) SetDraining(draining bool) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.draining = draining
}

// DropBefore closes the connection that sends the next statement whose text contains substring, before the statement
// is executed.
func (m *Member) DropBefore(substring string) {
	m.setDropRule(&dropRule{substring: substring})
}

// DropAfter closes the connection that sends the next statement whose text contains substring, after the statement is
// executed and before a response is sent. A statement outside a transaction block is also committed.
func (m *Member) DropAfter(substring string) {
	m.setDropRule(&dropRule{substring: substring, after: true})
}

func (m *Member) setDropRule(r *dropRule) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.dropRule = r
}

// consumeDropRule reports whether the connection must be closed before or after executing a statement. A rule that
// applies is removed.
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
