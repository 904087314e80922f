package labstandin

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// Counters counts what a member did since the group started.
type Counters struct {
	Open        int    // connections now
	MaxOpen     int    // most connections at once
	Accepted    uint64 // connections within the limit
	Refused     uint64 // connections over the limit
	MaxSlots    int    // most statements running at once, without the proxy's own queries
	Statements  uint64 // without the proxy's own queries
	Positions   uint64 // position, promotion and switch point queries
	MaxPosition int    // most of those running at once
}

// StatementRun is one statement that a member began to execute.
type StatementRun struct {
	Connection  uint64
	Transaction uint64
	Incarnation uint64
	SQL         string // as received, with comments
	Recovery    bool   // ran on a replica
	Began       time.Time
	Ended       time.Time
	Code        string // SQLSTATE of the error, "closed" when the connection ended, empty on success
}

// Committed is one committed transaction in a member's log.
type Committed struct {
	Transaction uint64
	Position    lab.WALPosition // after the transaction
	Changes     int
}

// State is a member's place in the group.
type State struct {
	Running  bool
	Recovery bool
	Replayed lab.WALPosition
	Received lab.WALPosition
}

// Counters returns the member's counters.
func (m *Member) Counters() Counters {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	return m.counters
}

// Statements returns the statements that the member executed, oldest first, without the proxy's own queries.
func (m *Member) Statements() []StatementRun {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	all := append([]StatementRun(nil), m.statements[m.overwrite:]...)

	return append(all, m.statements[:m.overwrite]...)
}

// Rows returns a copy of a table as the member's reads see it now.
func (m *Member) Rows(table string) map[string]Row {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advance()

	return maps.Clone(m.rows[table])
}

// Committed returns the transactions in the member's log, oldest first.
func (m *Member) Committed() []Committed {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advance()

	var all []Committed

	for i, r := range m.wal {
		if len(r.changes) > 0 {
			all = append(all, Committed{r.transaction, m.positionAt(i + 1), len(r.changes)})
		}
	}

	return all
}

// State returns the member's role and positions.
func (m *Member) State() State {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advance()

	return State{m.running, m.recovery, m.positionAt(m.replayed), m.positionAt(len(m.wal))}
}

// enter counts a statement that begins to run.
func (m *Member) enter(s *session, st *labsql.Statement, transaction uint64) *StatementRun {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	c := &m.counters

	switch {
	case st.Internal():
		c.Positions++
		m.polls++
		c.MaxPosition = max(c.MaxPosition, m.polls)

		return nil
	case st.Costs():
		m.busy++
		c.MaxSlots = max(c.MaxSlots, m.busy)
	}

	c.Statements++

	return &StatementRun{
		Connection: s.id, Transaction: transaction, Incarnation: m.incarnation, SQL: st.Raw,
		Recovery: m.recovery, Began: time.Now(),
	}
}

// leave records a statement that ended.
func (m *Member) leave(run *StatementRun, st *labsql.Statement, err error) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	if st.Internal() {
		m.polls--
		return
	}

	if st.Costs() {
		m.busy--
	}

	run.Ended = time.Now()

	if err != nil {
		run.Code = "closed"

		var e *sqlError
		if errors.As(err, &e) {
			run.Code = e.code
		}
	}

	if len(m.statements) < m.group.StatementsKept {
		m.statements = append(m.statements, *run)
		return
	}

	m.statements[m.overwrite] = *run
	m.overwrite = (m.overwrite + 1) % len(m.statements)
}

// release gives back a session's connection count. The group's lock is held.
func (m *Member) release(s *session) {
	if s.counted {
		s.counted = false
		m.counters.Open--
	}
}
