package labreplica

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// The first byte of an entry's data is a tag for its kind. The first entry that a new leader appends has no data
// and therefore no tag.
const (
	tagCommand    byte = 1
	tagMembership byte = 2
)

// Command returns the proposed command in an entry. It returns false for membership changes and for the empty entry of
// a new leader.
func Command(entry lab.LogEntry) (command []byte, ok bool) {
	if len(entry.Data) == 0 || entry.Data[0] != tagCommand {
		return nil, false
	}

	return entry.Data[1:], true
}

func encodeCommand(command []byte) []byte {
	return append([]byte{tagCommand}, command...)
}

func encodeMembership(membership Membership) ([]byte, error) {
	b, err := msgpack.Marshal(membership)
	if err != nil {
		return nil, errors.Newf("encode membership: %w", err)
	}

	return append([]byte{tagMembership}, b...), nil
}

func decodeMembership(entry lab.LogEntry) (membership Membership, ok bool, err error) {
	if len(entry.Data) == 0 || entry.Data[0] != tagMembership {
		return membership, false, nil
	}

	if err := msgpack.Unmarshal(entry.Data[1:], &membership); err != nil {
		return membership, false, errors.Newf("decode membership of entry %d: %w", entry.Index, err)
	}

	return membership, true, nil
}
