package labgateway

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

const (
	// zonePenalty is the load, in transactions per slot, at which a replica in another zone is preferred.
	zonePenalty = 0.5
	// agePenaltyPerSecond is the load that one second of age is worth.
	agePenaltyPerSecond = 0.25
)

// readCandidate is a member that may serve a read.
type readCandidate struct {
	view  labobserver.View
	score float64
}

// covers reports whether a member has everything up to the floor. A floor of a term that the catalog does not know
// yet is covered by positions of the same term only, because the switch points up to it are unknown.
func covers(database *lab.Database, have, floor lab.WALPosition) bool {
	if floor.Term > database.CurrentTerm() {
		return have.Term == floor.Term && have.Offset >= floor.Offset
	}

	return database.History.Covers(have, floor)
}

// followsHistory reports whether a member's position follows the known history.
func followsHistory(database *lab.Database, position lab.WALPosition) bool {
	return position.Term > 0 && position.Term <= database.CurrentTerm() && database.History.Contains(position)
}

// eligible reports whether a replica may serve a read with a floor and an accepted age, 0 for none stated.
func eligible(database *lab.Database, v labobserver.View, floor lab.WALPosition, maxAge time.Duration) bool {
	if !v.Known || v.Failing || v.Member.Draining || !v.Status.InRecovery || v.Member.Member == database.Primary {
		return false
	}

	if !followsHistory(database, v.Status.Replayed) || !covers(database, v.Status.Replayed, floor) {
		return false
	}

	return maxAge == 0 || v.AgeKnown && v.Age <= maxAge
}

// selectReplica returns the best replica of those in the region, not counting the excluded one.
func selectReplica(
	database *lab.Database, views []labobserver.View, zone string, header lab.TransactionHeader, excluded string,
	load func(member string) (float64, bool),
) (best readCandidate, found bool) {
	for _, v := range views {
		if v.Member.Member == excluded || !eligible(database, v, header.MinPosition, header.MaxStaleness) {
			continue
		}

		loaded, usable := load(v.Member.Member)
		if !usable {
			continue
		}

		c := readCandidate{view: v, score: loaded + agePenaltyPerSecond*v.Age.Seconds()}
		if v.Member.AvailabilityZone != zone {
			c.score += zonePenalty
		}

		if !found || c.score < best.score {
			best, found = c, true
		}
	}

	return best, found
}
