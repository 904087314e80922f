package labstandin

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// Counters holds the counts of one member since the group started.
type Counters struct {
	OpenConnections     int    // number of connections that are open now
	MaxOpenConnections  int    // highest number of connections that were open at the same time
	AcceptedConnections uint64 // number of accepted connections
	RejectedConnections uint64 // number of connections rejected because of the connection limit
	MaxSlots            int    // highest number of slots that were occupied at the same time
	Statements          uint64 // number of executed statements, without internal statements
	InternalStatements  uint64 // number of executed internal statements
	MaxRunningInternal  int    // highest number of internal statements that ran at the same time
}

// StatementRun is one execution of a statement by a member.
type StatementRun struct {
	ConnectionID  uint64
	TransactionID uint64
	Incarnation   uint64
	SQL           string // text of the statement as received, with comments
	OnReplica     bool   // whether the member was in recovery
	Began         time.Time
	Ended         time.Time
	Code          string // SQLSTATE of the error, "closed" if the connection was closed, empty on success
}

// CommittedTransaction is one committed transaction in a member's WAL.
type CommittedTransaction struct {
	ID       uint64
	Position lab.WALPosition // WAL position after the transaction
	Changes  int             // number of row changes
}

// State is a member's role and WAL positions.
type State struct {
	Running  bool
	Recovery bool            // whether the member is a replica
	Replayed lab.WALPosition // end of the replayed WAL
	Received lab.WALPosition // end of the received WAL
}

// Counters returns a copy of the member's counters.
func (m *Member) Counters() Counters {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	return m.counters
}

// Statements returns the recorded executions of statements in the order in which they ended. Internal statements are
// not recorded.
func (m *Member) Statements() []StatementRun {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	all := append([]StatementRun(nil), m.statementRuns[m.oldestRun:]...)

	return append(all, m.statementRuns[:m.oldestRun]...)
}

// Rows returns a copy of the rows of a table as reads on the member see them now.
func (m *Member) Rows(table string) map[string]Row {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advanceReplication()

	return maps.Clone(m.rows[table])
}

// CommittedTransactions returns the transactions in the member's WAL, oldest first.
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

// State returns the member's current role and WAL positions.
func (m *Member) State() State {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	m.advanceReplication()

	return State{m.running, m.recovery, m.positionAt(m.replayed), m.positionAt(len(m.wal))}
}

// startStatement counts a statement that starts. It returns the record of the execution, or nil for an internal
// statement.
func (m *Member) startStatement(s *session, st *labsql.Statement, transactionID uint64) *StatementRun {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	c := &m.counters

	switch {
	case st.Internal():
		c.InternalStatements++
		m.runningInternal++
		c.MaxRunningInternal = max(c.MaxRunningInternal, m.runningInternal)

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

// finishStatement completes the record of an execution and stores it. When the member already has the maximum number of
// records, the oldest one is overwritten.
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

// releaseConnection removes a session from the count of open connections, unless it was removed before. The caller
// holds the group's lock.
func (m *Member) releaseConnection(s *session) {
	if s.counted {
		s.counted = false
		m.counters.OpenConnections--
	}
}
