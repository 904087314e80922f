package labquotaholder

import (
	"math"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// renewBefore is the remaining validity at which tokens in advance are replaced by new ones.
	renewBefore = 500 * time.Millisecond
	// reportFor is the time after the end of a grant for which its use is still reported. The grantor keeps grants open for
	// about as long.
	reportFor = 500 * time.Millisecond
	// forgetAfter is the time without use after which an organisation without tokens is forgotten.
	forgetAfter = time.Minute
)

// Holder holds tokens. It isn't safe for concurrent use; exported fields are set before use.
type Holder struct {
	Instance lab.InstanceID
	Horizon  time.Duration // time of the average use for which tokens are held in advance
	Average  time.Duration // time constant of the average use
	// Minimum is the number of tokens in advance below which none are requested. It keeps many holders from binding tokens
	// that they rarely use.
	Minimum int
	Reserve int // further tokens in advance for an organisation that was used within ReserveFor
	// ReserveFor is the time without use after which no reserve is held.
	ReserveFor time.Duration
	OnExpired  func(organisation string, n int) // called for unused tokens that have expired; may be nil

	stocks    map[string]*stock
	nextSweep time.Duration
}

// stock is the state of one organisation.
type stock struct {
	grants    []*grant
	use       float64 // average number of tokens used in a second, at the time usedAt
	usedAt    time.Duration
	waiting   int // tokens that operations wait for
	requested int // tokens that operations wait for and that requests under way ask for
	advance   int // tokens in advance that requests under way ask for
	refused   Refusal
}

// Refusal says until when requests for an organisation's tokens are in vain, and why.
type Refusal struct {
	Until     time.Duration
	NoContact bool // whether the grantor did not reach the leader; otherwise the limit is reached
}

// grant is a number of tokens with a common end.
type grant struct {
	source   string // instance that made the grant
	number   uint64
	free     int
	open     int // tokens that were taken and may still come back
	spent    int
	returned int
	end      time.Duration
	reported lab.QuotaReport // newest report that the grantor has answered
}

func (h *Holder) stock(organisation string, now time.Duration) *stock {
	s, ok := h.stocks[organisation]
	if !ok {
		if h.stocks == nil {
			h.stocks = map[string]*stock{}
		}

		s = &stock{usedAt: now}
		h.stocks[organisation] = s
	}

	return s
}

// Take takes up to n tokens from one grant that is valid for at least the given time, the one that ends first. It returns
// how many it took and the remaining validity. Each token must be given to Settle once.
func (h *Holder) Take(
	organisation string, n int, valid, now time.Duration,
) (token lab.QuotaToken, taken int, remaining time.Duration) {
	s := h.stock(organisation, now)
	h.expire(organisation, s, now)

	var first *grant

	for _, g := range s.grants {
		if g.free > 0 && g.end-now >= valid && (first == nil || g.end < first.end) {
			first = g
		}
	}

	if first == nil || n <= 0 {
		return lab.QuotaToken{}, 0, 0
	}

	taken = min(n, first.free)
	first.free -= taken
	first.open += taken

	h.addUse(s, float64(taken), now)

	return lab.QuotaToken{Organisation: organisation, Number: first.number, Source: first.source}, taken, first.end - now
}

// Settle records that tokens that were taken from a grant have been spent or come back unused. Those that come back can be
// taken again while they are valid.
func (h *Holder) Settle(token lab.QuotaToken, spent, returned int, now time.Duration) {
	s, ok := h.stocks[token.Organisation]
	if !ok {
		return
	}

	for _, g := range s.grants {
		if g.number != token.Number || g.source != token.Source {
			continue
		}

		spent = min(spent, g.open)
		g.open -= spent
		g.spent += spent

		returned = min(returned, g.open)
		g.open -= returned
		s.use = max(0, s.use-float64(returned)/h.Average.Seconds())

		if now < g.end {
			g.free += returned
		} else {
			g.returned += returned
		}

		return
	}
}

// Await changes the number of tokens that operations wait for by n. Requests under way for operations that have given up
// don't keep later operations from being requested for.
func (h *Holder) Await(organisation string, n int, now time.Duration) {
	s := h.stock(organisation, now)
	s.waiting = max(0, s.waiting+n)
	s.requested = min(s.requested, s.waiting)
}

// Refused returns the newest refusal of an organisation's tokens if it is still in force.
func (h *Holder) Refused(organisation string, now time.Duration) (Refusal, bool) {
	s, ok := h.stocks[organisation]
	if !ok || s.refused.Until <= now {
		return Refusal{}, false
	}

	return s.refused, true
}

// Low reports whether there are fewer than half of the tokens in advance that the average use calls for, and no request is
// under way for them.
func (h *Holder) Low(organisation string, now time.Duration) bool {
	s, ok := h.stocks[organisation]
	if !ok || s.advance > 0 || s.refused.Until > now {
		return false
	}

	return 2*s.fresh(now) < h.target(s, now)
}

// Request returns a request to an instance for the tokens that are missing, with the reports on earlier ones of that
// instance. It returns false if there is nothing to request or report. Each request must be given to Done.
func (h *Holder) Request(source string, now time.Duration) (lab.QuotaRequest, bool) {
	h.sweep(now)

	r := lab.QuotaRequest{Instance: h.Instance}

	for name, s := range h.stocks {
		h.expire(name, s, now)

		t := lab.QuotaItem{Organisation: name, Reports: s.reports(source)}

		if s.refused.Until <= now {
			t.Need = max(0, s.waiting-s.requested)
			t.Want = max(0, h.target(s, now)-s.fresh(now)-s.advance)
		}

		if t.Need == 0 && t.Want == 0 && len(t.Reports) == 0 {
			continue
		}

		s.requested += t.Need
		s.advance += t.Want

		r.Items = append(r.Items, t)
	}

	return r, len(r.Items) > 0
}

// Done records that a request of Request has got its response or gets none. It must be called once for each, before Apply.
func (h *Holder) Done(r lab.QuotaRequest) {
	for _, t := range r.Items {
		if s, ok := h.stocks[t.Organisation]; ok {
			s.requested = max(0, s.requested-t.Need)
			s.advance = max(0, s.advance-t.Want)
		}
	}
}

// Apply records the response to a request that was sent to an instance at the given time.
func (h *Holder) Apply(source string, r lab.QuotaRequest, a lab.QuotaResponse, sentAt, now time.Duration) {
	for _, t := range r.Items {
		s := h.stock(t.Organisation, now)
		s.recordReported(source, t.Reports)
	}

	for _, g := range a.Grants {
		if g.Item < 0 || g.Item >= len(r.Items) || g.Granted <= 0 {
			continue
		}

		name := r.Items[g.Item].Organisation
		s := h.stock(name, now)
		s.refused = Refusal{}
		s.grants = append(s.grants, &grant{source: source, number: g.Number, free: g.Granted, end: sentAt + g.ValidFor})
		h.expire(name, s, now)
	}

	for _, f := range a.Refusals {
		if f.Item >= 0 && f.Item < len(r.Items) {
			s := h.stock(r.Items[f.Item].Organisation, now)
			s.refused = Refusal{Until: now + f.RetryAfter, NoContact: f.NoContact}
		}
	}
}

// Free returns the number of tokens that can be taken.
func (h *Holder) Free(organisation string, now time.Duration) int {
	n := 0

	if s, ok := h.stocks[organisation]; ok {
		for _, g := range s.grants {
			if now < g.end {
				n += g.free
			}
		}
	}

	return n
}

// target returns the number of tokens to hold in advance.
func (h *Holder) target(s *stock, now time.Duration) int {
	n := int(math.Round(h.useAt(s, now) * h.Horizon.Seconds()))
	if n < h.Minimum {
		n = 0
	}

	if s.use > 0 && now-s.usedAt < h.ReserveFor {
		n += h.Reserve
	}

	return n
}

// expire gives up the free tokens of grants that have ended, and forgets grants that need no report any more.
func (h *Holder) expire(name string, s *stock, now time.Duration) {
	kept := s.grants[:0]

	for _, g := range s.grants {
		if g.end <= now && g.free > 0 {
			if h.OnExpired != nil {
				h.OnExpired(name, g.free)
			}

			g.returned += g.free
			g.free = 0
		}

		if now < g.end+reportFor && !g.settled() {
			kept = append(kept, g)
		}
	}

	clear(s.grants[len(kept):])
	s.grants = kept
}

// sweep forgets organisations that have not been used for long.
func (h *Holder) sweep(now time.Duration) {
	if now < h.nextSweep {
		return
	}

	h.nextSweep = now + forgetAfter

	for name, s := range h.stocks {
		h.expire(name, s, now)

		if len(s.grants) == 0 && s.waiting == 0 && s.requested == 0 && s.advance == 0 && now-s.usedAt > forgetAfter {
			delete(h.stocks, name)
		}
	}
}

// settled reports whether the grantor knows what became of all tokens of the grant.
func (g *grant) settled() bool {
	return g.free == 0 && g.open == 0 && g.spent == g.reported.Spent && g.returned == g.reported.Returned
}

func (h *Holder) addUse(s *stock, n float64, now time.Duration) {
	s.use, s.usedAt = h.useAt(s, now)+n/h.Average.Seconds(), now
}

func (h *Holder) useAt(s *stock, now time.Duration) float64 {
	return s.use * math.Exp(-(now-s.usedAt).Seconds()/h.Average.Seconds())
}

// fresh returns the number of free tokens that needn't be replaced yet.
func (s *stock) fresh(now time.Duration) int {
	n := 0

	for _, g := range s.grants {
		if g.end-now > renewBefore {
			n += g.free
		}
	}

	return n
}

func (s *stock) reports(source string) []lab.QuotaReport {
	var out []lab.QuotaReport

	for _, g := range s.grants {
		if g.source == source && (g.spent != g.reported.Spent || g.returned != g.reported.Returned) {
			out = append(out, lab.QuotaReport{Number: g.number, Spent: g.spent, Returned: g.returned})
		}
	}

	return out
}

func (s *stock) recordReported(source string, reports []lab.QuotaReport) {
	for _, r := range reports {
		for _, g := range s.grants {
			if g.source == source && g.number == r.Number && (r.Spent > g.reported.Spent || r.Returned > g.reported.Returned) {
				g.reported = r
			}
		}
	}
}
