package labselection

import "time"

const (
	// roundTripRegion is the round trip between regions: 12 ms each way by the specifications of the deployments.
	roundTripRegion = 24 * time.Millisecond
	// roundTripZone is the round trip between availability zones of a region: 1.4 ms each way by the specifications of
	// the deployments.
	roundTripZone = 3 * time.Millisecond
	// queueCost is the delay that each statement in progress adds: a statement takes 14 to 30 ms, and a member runs two
	// to three at once.
	queueCost = 8 * time.Millisecond
	// primaryCost is added to the expected delay of the primary. It makes reads prefer replicas, since only the primary
	// can run writes.
	primaryCost = 6 * time.Millisecond
	// connectionWaitCost is the expected wait for a connection while transactions hold all of them.
	connectionWaitCost = 30 * time.Millisecond
)

// Option describes one member that could serve a read.
type Option struct {
	Member        string
	SameZone      bool
	SameRegion    bool
	Primary       bool
	InProgress    int           // statements of this proxy in progress at the member
	HasConnection bool          // whether a connection is idle or may be opened
	Penalty       time.Duration // delay that is added because of recent refusals, 0 for none
}

// expectedDelay returns the time that a read at the member takes in addition to its execution.
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

// Select returns the index of the option with the lowest expected delay, or -1 if there are no options. The random
// number decides between options with the same expected delay.
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
