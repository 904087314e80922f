package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

// progress is what the leader knows of one other member.
type progress struct {
	id       lab.InstanceID
	match    uint64 // highest index known to be persisted there
	next     uint64 // index sent next
	probing  bool   // the common prefix is not known yet; one append at a time
	paused   bool   // a probe is outstanding
	inflight []uint64
	contact  time.Duration // leader's clock when it sent the latest message that was answered; never when none was
	round    uint64        // latest round that was answered
	matched  uint64        // latest round that was answered by an acknowledgement
	transfer *transfer     // snapshot being sent
}

// transfer is a snapshot on its way to a member.
type transfer struct {
	snapshot lab.LogSnapshot
	offset   uint64
	due      bool
	sent     time.Duration
}

const never time.Duration = -1

func newProgress(id lab.InstanceID, next uint64) *progress {
	return &progress{id: id, next: next, probing: true, contact: never}
}

// startTransfer sends a snapshot instead of entries; appends still unanswered then no longer fill the window.
func (p *progress) startTransfer(s lab.LogSnapshot) {
	p.transfer = &transfer{snapshot: s, due: true}
	p.probing, p.paused, p.inflight = true, false, nil
}

func (p *progress) touch(round uint64, sent time.Duration) {
	p.round = max(p.round, round)
	p.contact = max(p.contact, sent)
}

func (p *progress) blocked(window int) bool {
	if p.probing {
		return p.paused
	}

	return len(p.inflight) >= window
}

func (p *progress) sent(entries []lab.LogEntry) {
	if p.probing {
		p.paused = true

		return
	}

	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

func (p *progress) acknowledge(index, round uint64) {
	p.match = max(p.match, index)
	p.matched = max(p.matched, round)

	if p.probing {
		p.next = p.match + 1
		p.probing, p.paused, p.inflight = false, false, nil
	}

	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}

	if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// reject moves back after a failed append; answers that later ones have overtaken are ignored.
func (p *progress) reject(index, hint, round uint64) {
	// The member lost entries that it had acknowledged, such as a damaged last record of its journal.
	if index <= p.match && round > p.matched {
		p.match = min(p.match, hint)
	}

	stale := index <= p.match || (p.probing && index != p.next-1)
	if stale || p.transfer != nil {
		return
	}

	p.next = max(min(index, hint+1), p.match+1)
	p.probing, p.paused, p.inflight = true, false, nil
}
