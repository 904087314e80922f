package labstandin

import (
	"time"

	"laburnumlock.dev/lab"
)

const (
	// firstOffset is where the log of a new group starts.
	firstOffset = 0x3000000
	// recordBytes is what a commit adds to the log besides its keys and values.
	recordBytes = 0x38
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
	term        lab.PrimaryTerm
	end         uint64 // offset after the record
	at          time.Time
	transaction uint64
	changes     []change
}

// Row is the state of one key.
type Row struct {
	Value  string
	Writes int // committed inserts and updates of the key; more than the requests sent shows a double execution
}

// apply executes a record's changes on rows.
func apply(rows map[string]map[string]Row, r *record) {
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

	return lab.WALPosition{Term: r.term, Offset: r.end}
}

// commit appends a transaction to a primary's log and applies it. The group's lock is held.
func (m *Member) commit(transaction uint64, changes []change) {
	size := uint64(recordBytes)
	for _, c := range changes {
		size += uint64(len(c.key) + len(c.value))
	}

	p := m.positionAt(len(m.wal))
	m.extend(&record{p.Term, p.Offset + size, time.Now(), transaction, changes})
}

func (m *Member) extend(r *record) {
	m.wal = append(m.wal, r)
	m.replayed = len(m.wal)
	apply(m.rows, r)
}
