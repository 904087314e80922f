package labstandin

import "laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"

// transaction buffers changes until its commit.
type transaction struct {
	id       uint64
	implicit bool // ends at the next Sync or with the Query message
	readOnly bool
	failed   bool
	changes  []change
}

// begin opens an implicit transaction unless one is open.
func (s *session) begin() *transaction {
	if s.block == nil {
		g := s.member.group
		g.lock.Lock()
		g.transaction++
		s.block = &transaction{id: g.transaction, implicit: true}
		g.lock.Unlock()
	}

	return s.block
}

// end commits or rolls back the open transaction.
func (s *session) end(commit bool) error {
	t := s.block
	s.block = nil

	s.restoreSettings()
	clear(s.portals)

	if t == nil || !commit || len(t.changes) == 0 {
		return nil
	}

	return s.apply(t)
}

// apply makes the changes of a transaction durable, unless the member was closed or another commit inserted a key.
func (s *session) apply(t *transaction) error {
	m := s.member
	err := m.awaitThaw(s.context)

	defer m.group.lock.Unlock()

	switch {
	case err != nil:
		return err
	case s.context.Err() != nil || m.sessions[s.id] != s:
		return errClosed
	case m.recovery:
		return errReadOnly
	}

	inserted := map[[2]string]bool{}

	for _, c := range t.changes {
		k := [2]string{c.table, c.key}
		_, exists := m.rows[c.table][c.key]

		if c.kind == changeInsert && exists && !inserted[k] {
			return errUnique
		}

		// A key that this transaction inserted or deleted before may be inserted again.
		inserted[k] = inserted[k] || c.kind == changeInsert || c.kind == changeDelete
	}

	m.commit(t.id, t.changes)

	return nil
}

// table returns the rows that the transaction sees. The group's lock is held.
func (m *Member) table(name string, t *transaction) map[string]Row {
	m.advance()

	own := false
	for _, c := range t.changes {
		own = own || c.table == name
	}

	if !own {
		return m.rows[name]
	}

	// Copying is needed only in a transaction that reads a table after writing it.
	rows := map[string]map[string]Row{name: {}}
	for k, r := range m.rows[name] {
		rows[name][k] = r
	}

	for _, c := range t.changes {
		if c.table == name {
			apply(rows, &record{changes: []change{c}})
		}
	}

	return rows[name]
}

// row returns one key as the transaction sees it. The group's lock is held.
func (m *Member) row(table, key string, t *transaction) (Row, bool) {
	m.advance()

	r, ok := m.rows[table][key]
	rows := map[string]map[string]Row{table: {}}

	if ok {
		rows[table][key] = r
	}

	for _, c := range t.changes {
		if c.table == table && c.key == key {
			apply(rows, &record{changes: []change{c}})
		}
	}

	r, ok = rows[table][key]

	return r, ok
}

// transactionControl executes BEGIN, COMMIT and ROLLBACK and returns the command tag.
func (s *session) transactionControl(statement *labsql.Statement) (string, error) {
	switch statement.Kind {
	case labsql.Begin:
		t := s.begin()
		t.implicit = false
		t.readOnly = statement.ReadOnly

		return "BEGIN", nil
	case labsql.Rollback:
		return "ROLLBACK", s.end(false)
	}

	if s.block != nil && s.block.failed {
		return "ROLLBACK", s.end(false)
	}

	return "COMMIT", s.end(true)
}
