package labstandin

import "laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"

// transaction is an open transaction. Its changes are buffered until the commit.
type transaction struct {
	id       uint64
	implicit bool // whether it was opened without BEGIN; then it ends with the Query message or at the next Sync
	readOnly bool // whether BEGIN stated READ ONLY
	failed   bool // whether a statement has failed; then only COMMIT and ROLLBACK are accepted, and both roll back
	changes  []change
}

// ensureTransaction returns the open transaction. If there is none, it opens an implicit transaction.
func (s *session) ensureTransaction() *transaction {
	if s.transaction == nil {
		g := s.member.group
		g.lock.Lock()
		g.lastTransactionID++
		s.transaction = &transaction{id: g.lastTransactionID, implicit: true}
		g.lock.Unlock()
	}

	return s.transaction
}

// endTransaction commits or rolls back the open transaction, undoes SET LOCAL and closes all portals.
func (s *session) endTransaction(commit bool) error {
	t := s.transaction
	s.transaction = nil

	s.restoreSettings()
	clear(s.portals)

	if t == nil || !commit || len(t.changes) == 0 {
		return nil
	}

	return s.commit(t)
}

// commit makes the changes of a transaction durable. It returns an error if the session was closed, if the member is in
// recovery, or if another transaction has inserted a key that this transaction inserts.
func (s *session) commit(t *transaction) error {
	m := s.member
	err := m.lockWhenThawed(s.context)

	defer m.group.lock.Unlock()

	switch {
	case err != nil:
		return err
	case s.context.Err() != nil || m.sessions[s.id] != s:
		return errClosed
	case m.recovery:
		return errReadOnly
	}

	insertable := map[[2]string]bool{}

	for _, c := range t.changes {
		k := [2]string{c.table, c.key}
		_, exists := m.rows[c.table][c.key]

		if c.kind == changeInsert && exists && !insertable[k] {
			return errUniqueViolation
		}

		// Once the transaction has inserted or deleted the key, a committed row no longer conflicts with its inserts.
		insertable[k] = insertable[k] || c.kind == changeInsert || c.kind == changeDelete
	}

	m.commit(t.id, t.changes)

	return nil
}

// visibleRows returns the rows of a table that the transaction sees: the committed rows with the changes of the
// transaction applied. The caller holds the group's lock.
func (m *Member) visibleRows(name string, t *transaction) map[string]Row {
	m.advanceReplication()

	changed := false
	for _, c := range t.changes {
		changed = changed || c.table == name
	}

	if !changed {
		return m.rows[name]
	}

	// Only a transaction that has changed the table needs a copy of the rows.
	rows := map[string]map[string]Row{name: {}}
	for k, r := range m.rows[name] {
		rows[name][k] = r
	}

	for _, c := range t.changes {
		if c.table == name {
			applyRecord(rows, &record{changes: []change{c}})
		}
	}

	return rows[name]
}

// visibleRow returns the row of one key that the transaction sees. The caller holds the group's lock.
func (m *Member) visibleRow(table, key string, t *transaction) (Row, bool) {
	m.advanceReplication()

	r, ok := m.rows[table][key]
	rows := map[string]map[string]Row{table: {}}

	if ok {
		rows[table][key] = r
	}

	for _, c := range t.changes {
		if c.table == table && c.key == key {
			applyRecord(rows, &record{changes: []change{c}})
		}
	}

	r, ok = rows[table][key]

	return r, ok
}

// transactionControl executes BEGIN, COMMIT and ROLLBACK and returns the command tag.
func (s *session) transactionControl(statement *labsql.Statement) (string, error) {
	switch statement.Kind {
	case labsql.Begin:
		t := s.ensureTransaction()
		t.implicit = false
		t.readOnly = statement.ReadOnly

		return "BEGIN", nil
	case labsql.Rollback:
		return "ROLLBACK", s.endTransaction(false)
	}

	if s.transaction != nil && s.transaction.failed {
		return "ROLLBACK", s.endTransaction(false)
	}

	return "COMMIT", s.endTransaction(true)
}
