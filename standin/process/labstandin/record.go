package labstandin

import (
	"time"

	"laburnumlock.dev/lab"
)

const (
	// firstOffset is where the log of a new group starts.
	firstOffset = 0x3000000
	// recordOverheadBytes is what a commit adds to the log besides its keys and values.
	recordOverheadBytes = 0x38
)

type changeKind uint8

const (
	changeInsert changeKind = iota
	changeUpdate
	changeAppend
	changeDelete
)

type change struct {
	kind  changeKind
	table string
	key   string
	value string
}

// record is one committed transaction, or the start of a term when it has no changes. Members share records, so two
// logs agree up to an index exactly when they hold the same record there.
type record struct {
	timeline      lab.PrimaryTerm
	endOffset     uint64 // offset after the record
	committedAt   time.Time
	transactionID uint64
	changes       []change
}

// Row is the state of one key.
type Row struct {
	Value  string
	Writes int // committed inserts and updates of the key; more than the requests sent shows a double execution
}

// applyRecord executes a record's changes on rows.
func applyRecord(rows map[string]map[string]Row, r *record) {
	for _, c := range r.changes {
		t := rows[c.table]
		if t == nil {
			t = map[string]Row{}
			rows[c.table] = t
		}

		old, exists := t[c.key]

		switch {
		case c.kind == changeDelete:
			delete(t, c.key)
		case c.kind == changeInsert, c.kind == changeUpdate && exists:
			t[c.key] = Row{c.value, old.Writes + 1}
		case c.kind == changeAppend && exists:
			t[c.key] = Row{old.Value + c.value, old.Writes + 1}
		}
	}
}

func (m *Member) positionAt(records int) lab.WALPosition {
	if records == 0 {
		return lab.WALPosition{Term: 1, Offset: firstOffset}
	}

	r := m.wal[records-1]

	return lab.WALPosition{Term: r.timeline, Offset: r.endOffset}
}

// commit appends a transaction to a primary's log and applies it. The group's lock is held.
func (m *Member) commit(transactionID uint64, changes []change) {
	size := uint64(recordOverheadBytes)
	for _, c := range changes {
		size += uint64(len(c.key) + len(c.value))
	}

	p := m.positionAt(len(m.wal))
	m.appendRecord(&record{p.Term, p.Offset + size, time.Now(), transactionID, changes})
}

func (m *Member) appendRecord(r *record) {
	m.wal = append(m.wal, r)
	m.replayed = len(m.wal)
	applyRecord(m.rows, r)
}
