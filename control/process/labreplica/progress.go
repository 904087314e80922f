package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

// progress is what the leader knows of one other member.
type progress struct {
	id                lab.InstanceID
	matchIndex        uint64 // highest index known to be persisted there
	nextIndex         uint64 // index sent next
	probing           bool   // the common prefix is not known yet; one append at a time
	probeOutstanding  bool   // a probe is outstanding
	inflight          []uint64
	lastContact       time.Duration     // leader's clock when it sent the latest message that was answered; never when none was
	respondedRound    uint64            // latest round that was answered
	acknowledgedRound uint64            // latest round that was answered by an acknowledgement
	transfer          *snapshotTransfer // snapshot being sent
}

// snapshotTransfer is a snapshot on its way to a member.
type snapshotTransfer struct {
	snapshot lab.LogSnapshot
	offset   uint64
	chunkDue bool
	sentAt   time.Duration
}

const noContact time.Duration = -1

func newProgress(id lab.InstanceID, next uint64) *progress {
	return &progress{id: id, nextIndex: next, probing: true, lastContact: noContact}
}

// startTransfer sends a snapshot instead of entries; appends still unanswered then no longer fill the window.
func (p *progress) startTransfer(s lab.LogSnapshot) {
	p.transfer = &snapshotTransfer{snapshot: s, chunkDue: true}
	p.probing, p.probeOutstanding, p.inflight = true, false, nil
}

func (p *progress) recordContact(round uint64, sent time.Duration) {
	p.respondedRound = max(p.respondedRound, round)
	p.lastContact = max(p.lastContact, sent)
}

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

// recordRejection moves back after a failed append; answers that later ones have overtaken are ignored.
func (p *progress) recordRejection(index, hint, round uint64) {
	// The member lost entries that it had acknowledged, such as a damaged last record of its journal.
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
