package labcatalog

import (
	"bytes"
	"crypto/sha256"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// auditLimit is the number of audit records kept in memory and in snapshots. At 690 changes a day, these are the
// records of the last four weeks.
const auditLimit = 20000

// AuditRecord is one entry of the audit trail.
type AuditRecord struct {
	Sequence    uint64 `json:"sequence"            msgpack:"q"`
	Index       uint64 `json:"index"               msgpack:"x"` // index of the command in the replicated log
	ProposedAt  int64  `json:"at_ms"               msgpack:"a"` // proposer's wall-clock time in ms
	Operator    string `json:"operator"            msgpack:"o"`
	Action      string `json:"action"              msgpack:"c"`
	Object      string `json:"object"              msgpack:"n"`
	ChangeID    string `json:"change_id,omitempty" msgpack:"i"`
	BaseVersion uint64 `json:"base"                msgpack:"b"` // version on which the change is based, 0 for none
	Version     uint64 `json:"version"             msgpack:"v"` // version that the change created, 0 for none
	Outcome     string `json:"outcome"             msgpack:"u"`
	Digest      []byte `json:"digest,omitempty"    msgpack:"d"` // SHA-256 of the change
	Hash        []byte `json:"hash"                msgpack:"h"` // SHA-256 of the previous record's hash and this record without Hash
}

// ErrTampered is returned if the hashes of the audit trail don't match its records.
var ErrTampered = errors.New("audit trail was tampered with")

// auditTrail holds the newest records of the audit trail, which form a hash chain. Of the older records, it keeps only
// the hash of the last one, which is the start of the chain.
type auditTrail struct {
	lock         sync.RWMutex
	baseHash     []byte // hash of the newest record that was dropped
	lastSequence uint64
	records      []AuditRecord
}

func (r AuditRecord) hash(previous []byte) ([]byte, error) {
	r.Hash = nil
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, errors.Newf("encode audit record: %w", err)
	}
	sum := sha256.Sum256(append(bytes.Clone(previous), data...))

	return sum[:], nil
}

func (t *auditTrail) append(r AuditRecord) {
	t.lock.Lock()
	defer t.lock.Unlock()
	previous := t.baseHash
	if n := len(t.records); n > 0 {
		previous = t.records[n-1].Hash
	}
	t.lastSequence++
	r.Sequence = t.lastSequence
	hash, err := r.hash(previous)
	if err != nil {
		return // can't happen, since a record has only plain fields
	}
	r.Hash = hash
	if len(t.records) >= auditLimit {
		t.baseHash = t.records[0].Hash
		t.records = t.records[1:]
	}
	t.records = append(t.records, r)
}

// Audit returns up to limit audit records with a sequence number greater than after.
func (c *Catalog) Audit(after uint64, limit int) []AuditRecord {
	c.audit.lock.RLock()
	defer c.audit.lock.RUnlock()
	var list []AuditRecord
	for _, r := range c.audit.records {
		if r.Sequence > after && len(list) < limit {
			list = append(list, r)
		}
	}

	return list
}

// VerifyAudit recomputes the hash chain of the audit trail and returns an error if it doesn't match.
func (c *Catalog) VerifyAudit() error {
	c.audit.lock.RLock()
	defer c.audit.lock.RUnlock()

	return VerifyRecords(c.audit.baseHash, c.audit.records, c.audit.lastSequence)
}

// VerifyRecords checks the hash chain of consecutive records. previous is the hash of the record before the first one.
// Unless lastSequence is 0, VerifyRecords also checks that it is the sequence number of the last record.
func VerifyRecords(previous []byte, records []AuditRecord, lastSequence uint64) error {
	for i, r := range records {
		hash, err := r.hash(previous)
		if err != nil {
			return errors.Newf("verify audit record %d: %w", r.Sequence, err)
		}
		if !bytes.Equal(hash, r.Hash) || (i > 0 && r.Sequence != records[i-1].Sequence+1) {
			return errors.Newf("verify audit record %d: %w", r.Sequence, ErrTampered)
		}
		previous = r.Hash
	}
	if n := len(records); lastSequence != 0 && (n == 0 || records[n-1].Sequence != lastSequence) {
		return errors.Newf("verify audit trail up to record %d: %w", lastSequence, ErrTampered)
	}

	return nil
}
