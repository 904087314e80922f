package labjournal

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// formatVersion is the version of the file format.
const formatVersion = 1

// The first byte of a record's payload is a tag for the record's type. The rest of the payload is msgpack.
const (
	tagBase byte = iota + 1
	tagState
	tagEntries
)

// baseRecord is the first record of a file.
type baseRecord struct {
	Version    int             `msgpack:"version"`
	Generation uint64          `msgpack:"generation"`
	State      lab.HardState   `msgpack:"state"`
	Snapshot   lab.LogSnapshot `msgpack:"snapshot"`
	Entries    []lab.LogEntry  `msgpack:"entries"`
}

// content is the consensus state that results from applying all records of a file.
type content struct {
	state    lab.HardState
	snapshot lab.LogSnapshot
	entries  []lab.LogEntry
}

func encodePayload(tag byte, value any) ([]byte, error) {
	b, err := msgpack.Marshal(value)
	if err != nil {
		return nil, errors.Newf("encode record: %w", err)
	}

	return append([]byte{tag}, b...), nil
}

func (c *content) apply(sequence uint64, payload []byte) error {
	if len(payload) == 0 || (sequence == 1) != (payload[0] == tagBase) {
		return errors.New("record is empty or its type does not fit its position")
	}

	switch payload[0] {
	case tagBase:
		return c.applyBase(payload[1:])
	case tagState:
		return errors.Wrap(msgpack.Unmarshal(payload[1:], &c.state), "decode state")
	case tagEntries:
		var e []lab.LogEntry
		if err := msgpack.Unmarshal(payload[1:], &e); err != nil {
			return errors.Newf("decode entries: %w", err)
		}

		return c.replaceSuffix(e)
	}

	return errors.Newf("unknown record type %d", payload[0])
}

func (c *content) applyBase(b []byte) error {
	var d baseRecord
	if err := msgpack.Unmarshal(b, &d); err != nil {
		return errors.Newf("decode base: %w", err)
	}

	if d.Version != formatVersion {
		return errors.Newf("format version %d is not supported", d.Version)
	}

	c.state, c.snapshot = d.State, d.Snapshot
	if len(d.Entries) == 0 {
		return nil
	}

	return c.replaceSuffix(d.Entries)
}

func (c *content) lastIndex() uint64 {
	return c.snapshot.Index + uint64(len(c.entries))
}

// checkEntries returns an error unless the entries are consecutive and the first one extends or replaces stored entries
// without a gap.
func (c *content) checkEntries(entries []lab.LogEntry) error {
	if len(entries) == 0 {
		return errors.New("no entries to store")
	}

	first := entries[0].Index
	if first <= c.snapshot.Index || first > c.lastIndex()+1 {
		return errors.Newf("entry %d does not follow snapshot %d and entry %d", first, c.snapshot.Index, c.lastIndex())
	}

	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return errors.Newf("entry %d at the position of entry %d", e.Index, first+uint64(i))
		}
	}

	return nil
}

// replaceSuffix removes the stored entries from the index of the first given entry on, then stores the given entries.
func (c *content) replaceSuffix(entries []lab.LogEntry) error {
	if err := c.checkEntries(entries); err != nil {
		return err
	}

	n := entries[0].Index - c.snapshot.Index - 1
	c.entries = append(c.entries[:n], entries...)

	return nil
}

// entriesAfter returns the stored entries that follow a snapshot. It returns none when the stored log lacks the last
// entry that the snapshot covers, because later entries may then conflict with the snapshot.
func (c *content) entriesAfter(s lab.LogSnapshot) []lab.LogEntry {
	if s.Index == c.snapshot.Index && s.Term == c.snapshot.Term {
		return c.entries
	}

	if s.Index <= c.snapshot.Index || s.Index > c.lastIndex() {
		return nil
	}

	n := s.Index - c.snapshot.Index
	if c.entries[n-1].Term != s.Term {
		return nil
	}

	return append([]lab.LogEntry(nil), c.entries[n:]...)
}
