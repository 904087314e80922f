package labhistory

import "time"

// FinalRow is a row as the primary holds it after the run.
type FinalRow struct {
	Database string `json:"database"`
	Key      string `json:"key"`
	Sequence int64  `json:"sequence"`
	Runs     int    `json:"runs"` // how many committed transactions inserted it
}

// Violations counts the broken invariants of a history.
type Violations struct {
	Lost         int `json:"lost"`          // acknowledged writes that are gone
	Doubled      int `json:"doubled"`       // named requests that ran more than once
	Wrong        int `json:"wrong_answers"` // answers to another request
	Stale        int `json:"stale_reads"`   // reads older than the session's floor
	NotRunButRan int `json:"not_run_but_ran"`
}

// Any reports whether an invariant was broken.
func (v Violations) Any() bool {
	return v != Violations{}
}

type rowKey struct {
	database string
	key      string
}

// Check returns the violations of a history, given the final rows.
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

// checkWrites compares what was said of writes with the final rows. Only one session writes a key, and in sequence, so
// a final sequence below an acknowledged one is a loss.
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

// checkReads follows each session: a read must not be older than what the session wrote or read before.
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

// FailoverGap returns the time from an event, such as the loss of the primary, to the first acknowledgement of a write of the
// database that was sent after it, or -1 when there is none.
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
