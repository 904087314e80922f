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
	OpenConnections     int    // connections now
	MaxOpenConnections  int    // most connections at once
	AcceptedConnections uint64 // connections within the limit
	RejectedConnections uint64 // connections over the limit
	MaxSlots            int    // most statements running at once, without the proxy's own queries
	Statements          uint64 // without the proxy's own queries
	InternalStatements  uint64 // position, promotion and switch point queries
	MaxInternalSlots    int    // most of those running at once
}

// StatementRun is one statement that a member began to execute.
type StatementRun struct {
	ConnectionID  uint64
	TransactionID uint64
	Incarnation   uint64
	SQL           string // as received, with comments
	OnReplica     bool   // ran on a replica
	Began         time.Time
	Ended         time.Time
	Code          string // SQLSTATE of the error, "closed" when the connection ended, empty on success
}

// CommittedTransaction is one committed transaction in a member's log.
type CommittedTransaction struct {
	ID       uint64
	Position lab.WALPosition // after the transaction
	Changes  int
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

	all := append([]StatementRun(nil), m.statementRuns[m.oldestRun:]...)

	return append(all, m.statementRuns[:m.oldestRun]...)
}

// Rows returns a copy of a table as the member's reads see it now.
func (m *Member) Rows(table string) map[string]Row {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advanceReplication()

	return maps.Clone(m.rows[table])
}

// CommittedTransactions returns the transactions in the member's log, oldest first.
func (m *Member) CommittedTransactions() []CommittedTransaction {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advanceReplication()

	var all []CommittedTransaction

	for i, r := range m.wal {
		if len(r.changes) > 0 {
			all = append(all, CommittedTransaction{r.transactionID, m.positionAt(i + 1), len(r.changes)})
		}
	}

	return all
}

// State returns the member's role and positions.
func (m *Member) State() State {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advanceReplication()

	return State{m.running, m.recovery, m.positionAt(m.replayed), m.positionAt(len(m.wal))}
}

// startStatement counts a statement that begins to run.
func (m *Member) startStatement(s *session, st *labsql.Statement, transactionID uint64) *StatementRun {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	c := &m.counters

	switch {
	case st.Internal():
		c.InternalStatements++
		m.runningInternal++
		c.MaxInternalSlots = max(c.MaxInternalSlots, m.runningInternal)

		return nil
	case st.OccupiesSlot():
		m.runningStatements++
		c.MaxSlots = max(c.MaxSlots, m.runningStatements)
	}

	c.Statements++

	return &StatementRun{
		ConnectionID: s.id, TransactionID: transactionID, Incarnation: m.incarnation, SQL: st.Raw,
		OnReplica: m.recovery, Began: time.Now(),
	}
}

// finishStatement records a statement that ended.
func (m *Member) finishStatement(run *StatementRun, st *labsql.Statement, err error) {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	if st.Internal() {
		m.runningInternal--
		return
	}

	if st.OccupiesSlot() {
		m.runningStatements--
	}

	run.Ended = time.Now()

	if err != nil {
		run.Code = "closed"

		var e *sqlError
		if errors.As(err, &e) {
			run.Code = e.code
		}
	}

	if len(m.statementRuns) < m.group.MaxRecordedStatements {
		m.statementRuns = append(m.statementRuns, *run)
		return
	}

	m.statementRuns[m.oldestRun] = *run
	m.oldestRun = (m.oldestRun + 1) % len(m.statementRuns)
}

// releaseConnection gives back a session's connection count. The group's lock is held.
func (m *Member) releaseConnection(s *session) {
	if s.counted {
		s.counted = false
		m.counters.OpenConnections--
	}
}
