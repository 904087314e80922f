package labgateway

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

const (
	// zonePenalty is added to the score of a replica that is in another availability zone than the proxy. Its unit is
	// that of the load: transactions per slot.
	zonePenalty = 0.5
	// agePenaltyPerSecond is added to a replica's score for each second of staleness, also in transactions per slot.
	agePenaltyPerSecond = 0.25
)

// readCandidate is a member that may serve a read.
type readCandidate struct {
	view  labobserver.View
	score float64 // load in transactions per slot plus penalties; the lowest score is preferred
}

// covers reports whether a member at the position contains everything up to the minimum position. If the term of the
// minimum position is not in the catalog yet, the switch points before that term are unknown. Only a position of the
// same term can then cover the minimum position.
func covers(database *lab.Database, position, minimum lab.WALPosition) bool {
	if minimum.Term > database.CurrentTerm() {
		return position.Term == minimum.Term && position.Offset >= minimum.Offset
	}

	return database.History.Covers(position, minimum)
}

// followsHistory reports whether a member's position lies within the known term history.
func followsHistory(database *lab.Database, position lab.WALPosition) bool {
	return position.Term > 0 && position.Term <= database.CurrentTerm() && database.History.Contains(position)
}

// eligible reports whether a replica may serve a read with a minimum position and a maximum staleness. A maxStaleness
// of 0 means that the read sets no maximum.
func eligible(database *lab.Database, v labobserver.View, minimum lab.WALPosition, maxStaleness time.Duration) bool {
	if !v.PositionKnown || v.ConnectFailed || v.Member.Draining || !v.Status.InRecovery || v.Member.Member == database.Primary {
		return false
	}

	if !followsHistory(database, v.Status.Replayed) || !covers(database, v.Status.Replayed, minimum) {
		return false
	}

	return maxStaleness == 0 || v.AgeKnown && v.Age <= maxStaleness
}

// selectReplica returns the eligible replica with the lowest score, other than the excluded one.
func selectReplica(
	database *lab.Database, views []labobserver.View, zone string, header lab.TransactionHeader, excluded string,
	load func(member string) (float64, bool),
) (best readCandidate, found bool) {
	for _, v := range views {
		if v.Member.Member == excluded || !eligible(database, v, header.MinPosition, header.MaxStaleness) {
			continue
		}

		memberLoad, usable := load(v.Member.Member)
		if !usable {
			continue
		}

		c := readCandidate{view: v, score: memberLoad + agePenaltyPerSecond*v.Age.Seconds()}
		if v.Member.AvailabilityZone != zone {
			c.score += zonePenalty
		}

		if !found || c.score < best.score {
			best, found = c, true
		}
	}

	return best, found
}
