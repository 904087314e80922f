package labquotabucket

import (
	"math"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labquotaledger"
)

const (
	// validity is the time from the sending of a request until the granted tokens expire. Control instances hold tokens for
	// about 1.7 s of use, so that service goes on while a leader is elected; those that they use last must still be valid.
	validity = 2500 * time.Millisecond
	// accountingMargin is the time for which a grant stays open after its tokens have expired, counted from the response. It
	// covers clocks that drift apart by 10%, and the last report, which passes through a control instance.
	accountingMargin = validity/10 + 600*time.Millisecond
	// reserveShare is the part of the capacity that is not granted in advance. It serves operations at instances that have no
	// tokens left while others hold many.
	reserveShare = 0.1
	// overlapShare is the part of the tolerated operations that covers two leaders at once, and initialShare the part that a
	// new leader may grant at once. With both, two elections in one window stay within what the capacity leaves.
	overlapShare = 0.25
	initialShare = 0.125
	// minRetryAfter and maxRetryAfter bound the time for which a holder doesn't ask again. Hundreds of refused operations
	// then cause a few requests, and tokens that other holders return are found soon.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// forgetAfter is the time after the last request at which a bucket without open grants is removed, if it is full.
	forgetAfter = time.Minute
)

// Buckets holds the buckets of one leader in one term. It isn't safe for concurrent use; exported fields are set before use.
type Buckets struct {
	Tolerance   lab.QuotaTolerance
	Since       time.Duration // time at which this leader was elected
	Overlap     time.Duration // time from Since for which a former leader may still grant tokens
	FirstNumber uint64        // number of the first grant; should differ between leaders

	number    uint64
	buckets   map[string]*bucket
	nextSweep time.Duration
}

// bucket is the state of one organisation.
type bucket struct {
	level      float64 // tokens that can be granted; negative while a former leader may have granted some
	refilledAt time.Duration
	policy     lab.OrganisationPolicy
	ledger     labquotaledger.Ledger
}

// Exchange records the reports of a request and grants tokens. The policy function returns an organisation of the active
// configuration.
func (b *Buckets) Exchange(
	r lab.QuotaRequest, policy func(name string) (lab.OrganisationPolicy, bool), now time.Duration,
) lab.QuotaResponse {
	if b.buckets == nil {
		b.buckets, b.number = map[string]*bucket{}, b.FirstNumber
	}

	b.sweep(now)

	var a lab.QuotaResponse

	for i, t := range r.Items {
		p, known := policy(t.Organisation)
		if !known {
			a.Refusals = append(a.Refusals, lab.QuotaRefusal{Item: i, RetryAfter: maxRetryAfter})

			continue
		}

		granted, retryAfter := t.Need+t.Want, time.Duration(0)
		if p.Rate > 0 {
			granted, retryAfter = b.grant(r.Instance, t, p, now)
		}

		if granted > 0 {
			a.Grants = append(a.Grants, lab.QuotaGrant{Item: i, Number: b.number, Granted: granted, ValidFor: validity})
			b.number++
		}

		if granted < t.Need {
			a.Refusals = append(a.Refusals, lab.QuotaRefusal{Item: i, RetryAfter: retryAfter})
		}
	}

	return a
}

// grant accounts for an item of a request. It returns the number of granted tokens, and the time until a further one is
// expected.
func (b *Buckets) grant(
	holder lab.InstanceID, t lab.QuotaItem, p lab.OrganisationPolicy, now time.Duration,
) (int, time.Duration) {
	u := b.bucket(p)

	// The refill comes first: what was outstanding until now left no room for it.
	u.refill(b.Tolerance, now)
	u.policy = p
	u.level = min(u.level, b.Tolerance.Capacity(p)-float64(u.ledger.Outstanding()))
	u.ledger.Drop(now, func(lab.QuotaToken, int) {})

	for _, v := range t.Reports {
		_, _, returned := u.ledger.Report(holder, v)
		u.level += float64(returned)
	}

	free := max(0, int(math.Floor(u.level)))
	granted := min(t.Need, free)

	// Tokens in advance take at most half of the rest, so that one instance doesn't bind the tokens that others need.
	reserve := int(b.Tolerance.Capacity(p) * reserveShare)
	granted += max(0, min(t.Want, (free-granted)/2, free-granted-reserve))

	if granted > 0 {
		u.level -= float64(granted)
		u.ledger.Grant(holder, b.number, lab.QuotaToken{}, granted, now+validity+accountingMargin)
	}

	missing := time.Duration((1 - u.level) / p.Rate * float64(time.Second))

	return granted, min(max(missing, minRetryAfter), maxRetryAfter)
}

// bucket returns the bucket of an organisation. A bucket without a request since the election holds the refill since then.
func (b *Buckets) bucket(p lab.OrganisationPolicy) *bucket {
	u, ok := b.buckets[p.Name]
	if !ok {
		// A former leader may go on to grant tokens for the overlap.
		tolerated := b.Tolerance.Tolerated(p)
		level := min(overlapShare*tolerated-p.Rate*b.Overlap.Seconds(), initialShare*tolerated)

		u = &bucket{level: level, refilledAt: b.Since, policy: p}
		b.buckets[p.Name] = u
	}

	return u
}

func (u *bucket) refill(t lab.QuotaTolerance, now time.Duration) {
	if now <= u.refilledAt {
		return
	}

	room := t.Capacity(u.policy) - float64(u.ledger.Outstanding())
	u.level = min(u.level+u.policy.Rate*(now-u.refilledAt).Seconds(), room)
	u.refilledAt = now
}

// sweep removes buckets that are in the state of a new one.
func (b *Buckets) sweep(now time.Duration) {
	if now < b.nextSweep {
		return
	}

	b.nextSweep = now + forgetAfter

	for name, u := range b.buckets {
		if now-u.refilledAt < forgetAfter {
			continue
		}

		u.refill(b.Tolerance, now)
		u.ledger.Drop(now, func(lab.QuotaToken, int) {})

		if u.ledger.Outstanding() == 0 && u.level >= b.Tolerance.Capacity(u.policy) {
			delete(b.buckets, name)
		}
	}
}
