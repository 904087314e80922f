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
	// normalExecution is the execution time on which queueCost is based.
	normalExecution = 22 * time.Millisecond
	// diversionSpread is the advantage of another member from which all reads go there. With a smaller advantage only the
	// proportionate share of reads does: hundreds of proxies would otherwise all move to the same member at once, make it
	// the slower one and all move back.
	diversionSpread = 10 * time.Millisecond
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

	// Weight is the share of the measurement in the expected delay. It is 0 without enough samples.
	Weight    float64
	Slowdown  float64       // measured latency of a read, without the network, as a multiple of that in normal operation
	Execution time.Duration // latency of a read in normal operation at the members of the service
	Ejected   bool          // the member is to be used only if no other can be, or for a trial
	Trial     bool          // an ejected member is to get a trial statement
}

// Network returns the round trip to a member, without which latencies are compared.
func Network(sameZone, sameRegion bool) time.Duration {
	switch {
	case sameZone:
		return 0
	case sameRegion:
		return roundTripZone
	default:
		return roundTripRegion
	}
}

// priorDelay returns the time that a read at the member takes in addition to its execution, by the fixed costs.
func (o *Option) priorDelay() time.Duration {
	c := time.Duration(o.InProgress)*queueCost + o.Penalty + Network(o.SameZone, o.SameRegion)

	if o.Primary {
		c += primaryCost
	}

	if !o.HasConnection {
		c += connectionWaitCost
	}

	return c
}

// expectedDelay returns the time that a read at the member takes in addition to the execution in normal operation. In
// proportion to the samples, the measured latency replaces the assumption that the member is as fast as usual.
func (o *Option) expectedDelay() time.Duration {
	if o.Weight <= 0 {
		return o.priorDelay()
	}

	slower := (o.Slowdown - 1) * float64(o.Execution)
	queued := float64(o.InProgress) * float64(queueCost) * (o.Slowdown*float64(o.Execution)/float64(normalExecution) - 1)

	return o.priorDelay() + time.Duration(o.Weight*(slower+queued))
}

// Select returns the index of the option with the lowest expected delay, or -1 if there are no options. The random
// number decides between options with the same expected delay. Without measurements the fixed costs alone decide.
func Select(options []Option, random uint64) int {
	ejected := 0

	for i := range options {
		if options[i].Trial {
			return i
		}

		if options[i].Ejected {
			ejected++
		}
	}

	// If all that may serve the read are ejected, they are still better than none.
	all := ejected == len(options)

	prior := lowest(options, all, random, (*Option).priorDelay)
	measured := lowest(options, all, random, (*Option).expectedDelay)

	if prior == measured {
		return prior
	}

	// The upper half of the random number is independent of the one that decides between equal options.
	advantage := options[prior].expectedDelay() - options[measured].expectedDelay()
	if advantage < time.Duration(random>>32)*diversionSpread>>32 {
		return prior
	}

	return measured
}

// lowest returns the index of an option with the lowest delay, or -1 if there are no options. Unless all is set, it skips
// ejected members.
func lowest(options []Option, all bool, random uint64, delay func(*Option) time.Duration) int {
	best, ties := -1, uint64(0)

	var least time.Duration

	for i := range options {
		if options[i].Ejected && !all {
			continue
		}

		d := delay(&options[i])
		if best >= 0 && d > least {
			continue
		}

		if best < 0 || d < least {
			best, ties, least = i, 1, d

			continue
		}

		if ties++; random%ties == 0 {
			best = i
		}
	}

	return best
}
