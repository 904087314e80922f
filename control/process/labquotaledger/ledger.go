package labquotaledger

import (
	"time"

	"laburnumlock.dev/lab"
)

// Ledger holds the open grants of one organisation. It isn't safe for concurrent use.
type Ledger struct {
	grants      map[key]*grant
	outstanding int
	nextDrop    time.Duration // no grant ends before
}

type key struct {
	holder lab.InstanceID
	number uint64
}

type grant struct {
	source   lab.QuotaToken // token of the grantor that the tokens are from
	granted  int
	spent    int
	returned int
	end      time.Duration
}

// Outstanding returns the number of tokens that are granted and not yet accounted for.
func (l *Ledger) Outstanding() int {
	return l.outstanding
}

// Grant records n tokens for a holder. From the given end on they count as spent.
func (l *Ledger) Grant(holder lab.InstanceID, number uint64, source lab.QuotaToken, n int, end time.Duration) {
	if l.grants == nil {
		l.grants = map[key]*grant{}
	}

	if len(l.grants) == 0 || end < l.nextDrop {
		l.nextDrop = end
	}

	l.grants[key{holder, number}] = &grant{source: source, granted: n, end: end}
	l.outstanding += n
}

// Report records a holder's report. It returns the source of the grant and how many of its tokens are now spent and
// returned that were not before. Reports on grants that are unknown or have ended change nothing.
func (l *Ledger) Report(holder lab.InstanceID, r lab.QuotaReport) (source lab.QuotaToken, spent, returned int) {
	k := key{holder, r.Number}

	g, ok := l.grants[k]
	if !ok {
		return lab.QuotaToken{}, 0, 0
	}

	spent = min(max(0, r.Spent-g.spent), g.granted-g.spent-g.returned)
	g.spent += spent
	returned = min(max(0, r.Returned-g.returned), g.granted-g.spent-g.returned)
	g.returned += returned
	l.outstanding -= spent + returned

	if g.granted == g.spent+g.returned {
		delete(l.grants, k)
	}

	return g.source, spent, returned
}

// Drop removes the grants that have ended and calls ended with the number of tokens of each that were not accounted for.
// These may have been spent.
func (l *Ledger) Drop(now time.Duration, ended func(source lab.QuotaToken, n int)) {
	if len(l.grants) == 0 || now < l.nextDrop {
		return
	}

	first := true

	for k, g := range l.grants {
		if g.end > now {
			if first || g.end < l.nextDrop {
				l.nextDrop, first = g.end, false
			}

			continue
		}

		n := g.granted - g.spent - g.returned
		l.outstanding -= n

		delete(l.grants, k)
		ended(g.source, n)
	}
}
