package labquotalender

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labquotaledger"
	"laburnumlock.dev/lab/process/labquotaholder"
)

const (
	// minValidity is the remaining validity below which a token isn't granted. It covers the response to a busy proxy.
	minValidity = 150 * time.Millisecond
	// accountingMargin is the time for which a grant stays open after its tokens have expired. It covers the last report of
	// a proxy, and is shorter than the time for which the leader waits for this instance's report.
	accountingMargin = 400 * time.Millisecond
	// driftShare is the part of the validity that covers clocks that drift apart by up to 10%.
	driftShare = 10
	// minRetryAfter bounds the requests of proxies for tokens that are refused.
	minRetryAfter = 50 * time.Millisecond
)

// Lender grants tokens to proxies. It isn't safe for concurrent use; exported fields are set before use.
type Lender struct {
	Holder      *labquotaholder.Holder // tokens of this instance
	FirstNumber uint64                 // number of the first grant; should differ between instances and their restarts

	number  uint64
	ledgers map[string]*labquotaledger.Ledger // by organisation
}

// Record records the reports in a request of a proxy.
func (l *Lender) Record(r lab.QuotaRequest, now time.Duration) {
	for _, t := range r.Items {
		d, ok := l.ledgers[t.Organisation]
		if !ok {
			continue
		}

		for _, p := range t.Reports {
			source, spent, returned := d.Report(r.Instance, p)
			l.Holder.Settle(source, spent, returned, now)
		}
	}
}

// Grant grants tokens for the items of a request as far as there are any, and adds them to a response. Needs holds the
// number of tokens that operations still wait for, by item; Grant reduces it. It refuses needs while the leader has refused
// the organisation's tokens.
func (l *Lender) Grant(r lab.QuotaRequest, needs []int, a *lab.QuotaResponse, now time.Duration) {
	for i, t := range r.Items {
		for needs[i] > 0 {
			n := l.grant(r.Instance, i, t.Organisation, needs[i], a, now)
			if n == 0 {
				break
			}

			needs[i] -= n
		}

		if f, refused := l.Holder.Refused(t.Organisation, now); refused && needs[i] > 0 {
			a.Refusals = append(a.Refusals, lab.QuotaRefusal{
				Item: i, RetryAfter: max(minRetryAfter, f.Until-now), NoContact: f.NoContact,
			})
			needs[i] = 0
		}
	}
}

// GrantAdvance grants tokens for later operations: at most half of those that there are, so that another proxy needn't wait
// for the leader.
func (l *Lender) GrantAdvance(r lab.QuotaRequest, a *lab.QuotaResponse, now time.Duration) {
	for i, t := range r.Items {
		for want := min(t.Want, l.Holder.Free(t.Organisation, now)/2); want > 0; {
			n := l.grant(r.Instance, i, t.Organisation, want, a, now)
			if n == 0 {
				break
			}

			want -= n
		}
	}
}

// grant grants up to n tokens that end at the same time and returns their number.
func (l *Lender) grant(
	proxy lab.InstanceID, item int, organisation string, n int, a *lab.QuotaResponse, now time.Duration,
) int {
	token, taken, remaining := l.Holder.Take(organisation, n, minValidity, now)
	if taken == 0 {
		return 0
	}

	d, ok := l.ledgers[organisation]
	if !ok {
		if l.ledgers == nil {
			l.ledgers, l.number = map[string]*labquotaledger.Ledger{}, l.FirstNumber
		}

		d = &labquotaledger.Ledger{}
		l.ledgers[organisation] = d
	}

	d.Grant(proxy, l.number, token, taken, now+remaining+accountingMargin)

	a.Grants = append(a.Grants, lab.QuotaGrant{
		Item: item, Number: l.number, Granted: taken, ValidFor: remaining - remaining/driftShare,
	})
	l.number++

	return taken
}

// Drop counts the tokens as spent that proxies have neither reported nor can use any more.
func (l *Lender) Drop(now time.Duration) {
	for name, d := range l.ledgers {
		d.Drop(now, func(source lab.QuotaToken, n int) { l.Holder.Settle(source, n, 0, now) })

		if d.Outstanding() == 0 {
			delete(l.ledgers, name)
		}
	}
}
