package labdeployment

import (
	"strconv"
	"strings"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

const duplicateKey = "23505"

// FinalRows returns the rows of a table that holds key and value as "key:sequence", as each database's newest primary
// has them, with how often a statement that inserts them under a request name ran.
func (d *Deployment) FinalRows(table string) []labhistory.FinalRow {
	var rows []labhistory.FinalRow

	for name, g := range d.groups {
		runs := d.runs(name)

		for k, r := range g.Primary().Rows(table) {
			_, number, _ := strings.Cut(r.Value, ":")

			n, err := strconv.ParseInt(number, 10, 64)
			if err != nil {
				n = -1
			}

			rows = append(rows, labhistory.FinalRow{Database: name, Key: k, Sequence: n, Runs: runs[k]})
		}
	}

	return rows
}

// runs counts by request name the statements that ran in full, a second one of which the key's uniqueness refuses.
func (d *Deployment) runs(database string) map[string]int {
	const tag = "laburnumlock:once="

	runs := map[string]int{}

	for _, m := range d.groups[database].AllMembers() {
		for _, s := range m.Statements() {
			_, rest, named := strings.Cut(s.SQL, tag)
			if !named || s.OnReplica || (s.Code != "" && s.Code != duplicateKey) {
				continue
			}

			runs[strings.Fields(rest)[0]]++
		}
	}

	return runs
}

// Share counts the SELECT statements of one kind and those that replicas ran.
type Share struct {
	Reads   int
	Replica int
}

// Ratio returns the replicas' share, 0 without reads.
func (s Share) Ratio() float64 {
	if s.Reads == 0 {
		return 0
	}

	return float64(s.Replica) / float64(s.Reads)
}

// ReplicaShares returns the share of reads that carry a mark in their text, and of all others.
func (d *Deployment) ReplicaShares(mark string) (marked, others Share) {
	for _, g := range d.groups {
		for _, m := range g.AllMembers() {
			for _, s := range m.Statements() {
				if !strings.HasPrefix(s.SQL, "SELECT") {
					continue
				}

				share := &others
				if strings.Contains(s.SQL, mark) {
					share = &marked
				}

				share.Reads++

				if s.OnReplica {
					share.Replica++
				}
			}
		}
	}

	return marked, others
}
