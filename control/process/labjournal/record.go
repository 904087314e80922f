package labjournal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// A record consists of a header and a payload. The header holds the length of the payload (4 bytes), the sequence
// number of the record in the file (8 bytes), the checksum of the payload (4 bytes) and the checksum of the preceding
// 16 bytes of the header (4 bytes). All numbers are little-endian.
const (
	headerSize        = 20 // size of the header in bytes
	headerChecksummed = 16 // number of bytes that the checksum of the header covers
)

var (
	errShort    = errors.New("record is incomplete")
	errHeader   = errors.New("header checksum does not match")
	errPayload  = errors.New("payload checksum does not match")
	errSequence = errors.New("record is out of sequence")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeRecord(sequence uint64, payload []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[4:], sequence)
	binary.LittleEndian.PutUint32(b[12:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[16:], crc32.Checksum(b[:headerChecksummed], castagnoli))

	return append(b, payload...)
}

// decodeRecord returns the sequence number and payload of the record at the start of b.
func decodeRecord(b []byte) (sequence uint64, payload []byte, err error) {
	if len(b) < headerSize {
		return 0, nil, errShort
	}

	if crc32.Checksum(b[:headerChecksummed], castagnoli) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, errHeader
	}

	n := int64(binary.LittleEndian.Uint32(b))
	if int64(len(b)-headerSize) < n {
		return 0, nil, errShort
	}

	payload = b[headerSize : headerSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return 0, nil, errPayload
	}

	return binary.LittleEndian.Uint64(b[4:]), payload, nil
}

// containsLaterRecord reports whether a valid record with a sequence number above the given one begins anywhere in b.
func containsLaterRecord(b []byte, sequence uint64) bool {
	for i := 0; i+headerSize <= len(b); i++ {
		s, _, err := decodeRecord(b[i:])
		if err == nil && s > sequence {
			return true
		}
	}

	return false
}
