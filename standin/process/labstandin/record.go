package labstandin

import (
	"time"

	"laburnumlock.dev/lab"
)

const (
	// firstOffset is the offset at which the WAL of a new group starts.
	firstOffset = 0x3000000
	// recordOverheadBytes is the size of a WAL record without its keys and values.
	recordOverheadBytes = 0x38
)

type changeKind uint8

const (
	changeInsert changeKind = iota
	changeUpdate
	changeAppend // appends to the value of an existing key
	changeDelete
)

type change struct {
	kind  changeKind
	table string
	key   string
	value string
}

// record is one WAL record: a committed transaction, or the start of a timeline if it has no changes. Members share
// pointers to records, so the WALs of two members are equal up to an index if and only if both have the same pointer at
// that index.
type record struct {
	timeline      lab.PrimaryTerm
	endOffset     uint64 // WAL offset at the end of the record
	committedAt   time.Time
	transactionID uint64
	changes       []change
}

// Row is the value of one key and the number of its writes.
type Row struct {
	Value  string
	Writes int // number of committed inserts and updates; if above the requested number, a request ran twice
}

// applyRecord applies the changes of a record to rows, which are indexed by table and key.
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

// commit appends a transaction to the WAL of a primary and applies it. The caller holds the group's lock.
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
