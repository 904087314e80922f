package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

// progress is the replication state of one peer, as tracked by the leader.
type progress struct {
	id                lab.InstanceID
	matchIndex        uint64            // highest index that the peer is known to have persisted
	nextIndex         uint64            // index of the next entry to send
	probing           bool              // last entry in common with the peer is unknown; appends are sent one at a time
	probeOutstanding  bool              // while probing, the append sent in this heartbeat round has no response yet
	inflight          []uint64          // index of the last entry of each unacknowledged append
	lastContact       time.Duration     // latest SentAt of a message that the peer has responded to; noContact for none
	respondedRound    uint64            // latest heartbeat round that the peer has responded to
	acknowledgedRound uint64            // latest heartbeat round in which the peer has acknowledged an append
	transfer          *snapshotTransfer // nil when no snapshot is being sent
}

// snapshotTransfer is the state of sending a snapshot to a peer.
type snapshotTransfer struct {
	snapshot lab.LogSnapshot
	offset   uint64        // offset of the next chunk in bytes
	chunkDue bool          // the next chunk may be sent without waiting for SnapshotRetry
	sentAt   time.Duration // time at which the last chunk was sent
}

const noContact time.Duration = -1

func newProgress(id lab.InstanceID, next uint64) *progress {
	return &progress{id: id, nextIndex: next, probing: true, lastContact: noContact}
}

// startTransfer starts to send a snapshot instead of entries. It forgets unacknowledged appends so that they don't fill
// the window.
func (p *progress) startTransfer(s lab.LogSnapshot) {
	p.transfer = &snapshotTransfer{snapshot: s, chunkDue: true}
	p.probing, p.probeOutstanding, p.inflight = true, false, nil
}

// recordContact records a response to a message of the round that was sent at the given time.
func (p *progress) recordContact(round uint64, sentAt time.Duration) {
	p.respondedRound = max(p.respondedRound, round)
	p.lastContact = max(p.lastContact, sentAt)
}

// blocked reports whether the leader must wait for a response before it sends more entries.
func (p *progress) blocked(window int) bool {
	if p.probing {
		return p.probeOutstanding
	}

	return len(p.inflight) >= window
}

func (p *progress) recordSent(entries []lab.LogEntry) {
	if p.probing {
		p.probeOutstanding = true

		return
	}

	p.nextIndex += uint64(len(entries))
	p.inflight = append(p.inflight, p.nextIndex-1)
}

func (p *progress) recordAcknowledgement(index, round uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.acknowledgedRound = max(p.acknowledgedRound, round)

	if p.probing {
		p.nextIndex = p.matchIndex + 1
		p.probing, p.probeOutstanding, p.inflight = false, false, nil
	}

	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}

	if p.transfer != nil && p.matchIndex >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// recordRejection moves the next index back after a rejected append. It ignores outdated rejections.
func (p *progress) recordRejection(index, hint, round uint64) {
	// A peer that rejects an acknowledged index in a later round has lost entries, for example because the last record of
	// its journal was damaged.
	if index <= p.matchIndex && round > p.acknowledgedRound {
		p.matchIndex = min(p.matchIndex, hint)
	}

	stale := index <= p.matchIndex || (p.probing && index != p.nextIndex-1)
	if stale || p.transfer != nil {
		return
	}

	p.nextIndex = max(min(index, hint+1), p.matchIndex+1)
	p.probing, p.probeOutstanding, p.inflight = true, false, nil
}
