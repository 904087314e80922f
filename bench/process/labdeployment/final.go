package labdeployment

import (
	"strconv"
	"strings"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

const sqlStateUniqueViolation = "23505"

// FinalRows returns the rows of a table on the current primary of each database. The value of a row has the form
// "key:sequence". Runs counts the inserts that ran with the row's key as idempotency key.
func (d *Deployment) FinalRows(table string) []labhistory.FinalRow {
	var rows []labhistory.FinalRow

	for name, g := range d.groups {
		runs := d.countRuns(name)

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

// countRuns counts by idempotency key the inserts that ran. It includes those that failed with a unique violation,
// since that happens when the insert runs a second time.
func (d *Deployment) countRuns(database string) map[string]int {
	const tag = "laburnumlock:once="

	runs := map[string]int{}

	for _, m := range d.groups[database].AllMembers() {
		for _, s := range m.Statements() {
			_, rest, named := strings.Cut(s.SQL, tag)
			if !named || s.OnReplica || (s.Code != "" && s.Code != sqlStateUniqueViolation) {
				continue
			}

			runs[strings.Fields(rest)[0]]++
		}
	}

	return runs
}

// ReplicaShare counts SELECT statements, and those of them that ran on replicas.
type ReplicaShare struct {
	Reads        int
	ReplicaReads int
}

// Ratio returns the share of reads that ran on replicas, or 0 if there were no reads.
func (s ReplicaShare) Ratio() float64 {
	if s.Reads == 0 {
		return 0
	}

	return float64(s.ReplicaReads) / float64(s.Reads)
}

// ReplicaShares returns the replica share of the reads whose text contains the mark, and that of all other reads.
func (d *Deployment) ReplicaShares(mark string) (marked, others ReplicaShare) {
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
					share.ReplicaReads++
				}
			}
		}
	}

	return marked, others
}
