package labpermissionholders

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// forgetAfter is how long a receiver is kept after its last request. Requests come several times a second.
const forgetAfter = 10 * time.Second

// Holders records for each receiver of permissions the newest list that it has confirmed, and until when it may hold an
// earlier one. It isn't safe for concurrent use.
type Holders struct {
	Margin time.Duration // time added to the end of each grant, since clocks drift apart

	receivers map[lab.InstanceID]*receiver
	// behind is the receiver with the oldest confirmed list of those whose grants have not ended. It is nil if that must be
	// determined again. With it, most calls of Confirmed don't look at all receivers.
	behind    *receiver
	now       time.Duration // latest time that was passed
	nextSweep time.Duration
}

type receiver struct {
	id        lab.InstanceID
	confirmed lab.PermissionRevision
	end       time.Duration // end of the last grant, with the margin
	heardAt   time.Duration
}

// Record records what a receiver reports in a request.
func (h *Holders) Record(id lab.InstanceID, report lab.PermissionReport, now time.Duration) {
	h.now = max(h.now, now)
	h.sweep()

	r := h.receiver(id)
	r.confirmed, r.heardAt = report.Confirmed, now
	h.compare(r)
}

// Granted records that a receiver may hold permissions until the given time.
func (h *Holders) Granted(id lab.InstanceID, end time.Duration) {
	r := h.receiver(id)
	r.end = max(r.end, end+h.Margin)
	h.compare(r)
}

// Confirmed reports whether each receiver has confirmed a list or a later one, or its grant has ended.
func (h *Holders) Confirmed(revision lab.PermissionRevision, now time.Duration) bool {
	h.now = max(h.now, now)

	if h.behind == nil || h.behind.end <= now {
		h.behind = nil

		for _, r := range h.receivers {
			if r.end > now && (h.behind == nil || r.confirmed.Before(h.behind.confirmed)) {
				h.behind = r
			}
		}
	}

	return h.behind == nil || !h.behind.confirmed.Before(revision)
}

// Waiting returns the receivers that have not confirmed a list, sorted and at most limit of them, and the latest end of the
// grants of all such receivers.
func (h *Holders) Waiting(revision lab.PermissionRevision, now time.Duration, limit int) ([]string, time.Duration) {
	var (
		ids []string
		end time.Duration
	)

	for _, r := range h.receivers {
		if r.end > now && r.confirmed.Before(revision) {
			ids, end = append(ids, string(r.id)), max(end, r.end)
		}
	}

	slices.Sort(ids)

	return ids[:min(limit, len(ids))], end
}

func (h *Holders) receiver(id lab.InstanceID) *receiver {
	if h.receivers == nil {
		h.receivers = map[lab.InstanceID]*receiver{}
	}

	r, ok := h.receivers[id]
	if !ok {
		r = &receiver{id: id}
		h.receivers[id] = r
	}

	return r
}

// compare updates the receiver with the oldest confirmed list after a change of r.
func (h *Holders) compare(r *receiver) {
	switch {
	case h.behind == nil:
	case r == h.behind:
		h.behind = nil
	case r.end > h.now && r.confirmed.Before(h.behind.confirmed):
		h.behind = r
	}
}

// sweep removes the receivers that have not been heard from for long and hold nothing.
func (h *Holders) sweep() {
	if h.now < h.nextSweep {
		return
	}

	h.nextSweep = h.now + forgetAfter

	for id, r := range h.receivers {
		if r.end <= h.now && r.heardAt+forgetAfter < h.now {
			delete(h.receivers, id)
		}
	}

	h.behind = nil
}
