package labhistory

import "time"

// FinalRow is a row on the primary at the end of a run.
type FinalRow struct {
	Database string `json:"database"`
	Key      string `json:"key"`
	Sequence int64  `json:"sequence"`
	Runs     int    `json:"runs"` // number of times that the insert with Key as its idempotency key ran
}

// Violations holds the number of violations of each invariant in a history.
type Violations struct {
	Lost         int `json:"lost"`            // number of acknowledged writes that are missing from the final rows
	Doubled      int `json:"doubled"`         // number of requests with an idempotency key that ran more than once
	Wrong        int `json:"wrong_answers"`   // number of responses that belong to another request
	Stale        int `json:"stale_reads"`     // number of reads of older data than the same session had written or read
	NotRunButRan int `json:"not_run_but_ran"` // number of final rows whose write was reported as not run
}

// Any reports whether any invariant was violated.
func (v Violations) Any() bool {
	return v != Violations{}
}

type rowKey struct {
	database string
	key      string
}

// Check compares a history with the final rows and returns the violations.
func Check(operations []Operation, final []FinalRow) Violations {
	rows := map[rowKey]FinalRow{}
	for _, r := range final {
		rows[rowKey{r.Database, r.Key}] = r
	}

	v := Violations{Doubled: countDoubled(final)}
	checkWrites(&v, operations, rows)
	checkReads(&v, operations)

	return v
}

func countDoubled(final []FinalRow) int {
	n := 0

	for _, r := range final {
		if r.Runs > 1 {
			n++
		}
	}

	return n
}

// checkWrites compares the results of writes with the final rows. A key is written by one session only, with ascending
// sequence numbers, so a final sequence number below an acknowledged one means a lost write.
func checkWrites(v *Violations, operations []Operation, rows map[rowKey]FinalRow) {
	results := map[rowKey]map[int64]Result{}

	for _, o := range operations {
		if !o.IsWrite() {
			continue
		}

		k := rowKey{o.Database, o.Key}
		r, found := rows[k]

		if o.Result == ResultDone && (!found || r.Sequence < o.Sequence) {
			v.Lost++
		}

		if results[k] == nil {
			results[k] = map[int64]Result{}
		}

		if results[k][o.Sequence] != ResultDone && results[k][o.Sequence] != ResultUnknown {
			results[k][o.Sequence] = o.Result
		}
	}

	for k, keyResults := range results {
		if r, found := rows[k]; found && keyResults[r.Sequence] == ResultNotRun {
			v.NotRunButRan++
		}
	}
}

// checkReads counts wrong responses, and reads that returned older data than the same session had written or read
// before.
func checkReads(v *Violations, operations []Operation) {
	type sessionKey struct {
		session int
		rowKey
	}

	minimum := map[sessionKey]int64{}

	for _, o := range operations {
		if o.WrongResponse {
			v.Wrong++

			continue
		}

		if o.Result != ResultDone || o.Kind == KindIdempotentInsert {
			continue
		}

		k := sessionKey{o.Session, rowKey{o.Database, o.Key}}
		if m, known := minimum[k]; known && o.Kind != KindWrite && o.Sequence < m {
			v.Stale++
		}

		minimum[k] = max(minimum[k], o.Sequence)
	}
}

// FailoverGap returns the time from an event, such as the loss of the primary, until the first acknowledgement of a
// write. It considers only writes to the database that were sent after the event, and returns -1 if none of them was
// acknowledged.
func FailoverGap(operations []Operation, database string, event time.Duration) time.Duration {
	first := time.Duration(-1)

	for _, o := range operations {
		if !o.IsWrite() || o.Database != database || o.Result != ResultDone || o.SentAt < event {
			continue
		}

		if first < 0 || o.CompletedAt < first {
			first = o.CompletedAt
		}
	}

	if first < 0 {
		return -1
	}

	return first - event
}
