package labdeployment

import (
	"strconv"
	"strings"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

const sqlStateUniqueViolation = "23505"

// FinalRows returns the rows of a table on the current primary of each database. The value of a row has the form
// "key:sequence".
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

// countRuns returns by idempotency key how many times the insert with the key ran. A unique violation counts as a run,
// since an insert that runs a second time fails with it.
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

// ReplicaShare holds the number of reads on all members and on replicas.
type ReplicaShare struct {
	Reads        int // number of SELECT statements that ran
	ReplicaReads int // number of SELECT statements that ran on replicas
}

// Ratio returns the share of reads that ran on replicas, or 0 if there were no reads.
func (s ReplicaShare) Ratio() float64 {
	if s.Reads == 0 {
		return 0
	}

	return float64(s.ReplicaReads) / float64(s.Reads)
}

// ReplicaShares returns the ReplicaShare of the reads whose text contains the mark, and that of all other reads.
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
