package labselection

import "time"

const (
	// roundTripRegion is the round trip between regions, 12 ms each way on the deployments' sheets.
	roundTripRegion = 24 * time.Millisecond
	// roundTripZone is the round trip between zones of a region, 1.4 ms each way on the deployments' sheets.
	roundTripZone = 3 * time.Millisecond
	// queueCost is what each statement in progress adds to the expected wait: a statement's work of 14 to 30 ms, over
	// two to three slots.
	queueCost = 8 * time.Millisecond
	// primaryCost keeps reads that may run elsewhere from the only member that can take writes.
	primaryCost = 6 * time.Millisecond
	// connectionWaitCost is what waiting for a connection in use by a transaction adds.
	connectionWaitCost = 30 * time.Millisecond
)

// Option is one member that could serve a read.
type Option struct {
	Member        string
	SameZone      bool
	SameRegion    bool
	Primary       bool
	InProgress    int           // statements of this proxy there
	HasConnection bool          // a connection is free or may be opened
	Penalty       time.Duration // penalty for recent refusals, 0 for none
}

// expectedDelay is the expected extra time of a read at the option.
func (o *Option) expectedDelay() time.Duration {
	c := time.Duration(o.InProgress)*queueCost + o.Penalty

	switch {
	case o.SameZone:
	case o.SameRegion:
		c += roundTripZone
	default:
		c += roundTripRegion
	}

	if o.Primary {
		c += primaryCost
	}

	if !o.HasConnection {
		c += connectionWaitCost
	}

	return c
}

// Select returns the index of the option with the least cost, -1 without options; ties go to the number drawn.
func Select(options []Option, random uint64) int {
	best, ties := -1, uint64(0)

	for i := range options {
		if best >= 0 && options[i].expectedDelay() > options[best].expectedDelay() {
			continue
		}

		if best < 0 || options[i].expectedDelay() < options[best].expectedDelay() {
			best, ties = i, 1

			continue
		}

		if ties++; random%ties == 0 {
			best = i
		}
	}

	return best
}
