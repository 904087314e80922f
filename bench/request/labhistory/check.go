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

	v := Violations{Doubled: doubled(final)}
	checkWrites(&v, operations, rows)
	checkReads(&v, operations)

	return v
}

func doubled(final []FinalRow) int {
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
	written := map[rowKey]map[int64]Result{}

	for _, o := range operations {
		if !o.Writes() {
			continue
		}

		k := rowKey{o.Database, o.Key}
		r, found := rows[k]

		if o.Result == ResultDone && (!found || r.Sequence < o.Sequence) {
			v.Lost++
		}

		if written[k] == nil {
			written[k] = map[int64]Result{}
		}

		if written[k][o.Sequence] != ResultDone && written[k][o.Sequence] != ResultUnknown {
			written[k][o.Sequence] = o.Result
		}
	}

	for k, results := range written {
		if r, found := rows[k]; found && results[r.Sequence] == ResultNotRun {
			v.NotRunButRan++
		}
	}
}

// checkReads follows each session: a read must not be older than what the session wrote or read before.
func checkReads(v *Violations, operations []Operation) {
	type place struct {
		session int
		rowKey
	}

	floor := map[place]int64{}

	for _, o := range operations {
		if o.Foreign {
			v.Wrong++

			continue
		}

		if o.Result != ResultDone || o.Kind == KindOnce {
			continue
		}

		p := place{o.Session, rowKey{o.Database, o.Key}}
		if f, known := floor[p]; known && o.Kind != KindWrite && o.Sequence < f {
			v.Stale++
		}

		floor[p] = max(floor[p], o.Sequence)
	}
}

// Gap returns the time from an event, such as the loss of the primary, to the first acknowledgement of a write of the
// database that was sent after it, or -1 when there is none.
func Gap(operations []Operation, database string, event time.Duration) time.Duration {
	first := time.Duration(-1)

	for _, o := range operations {
		if !o.Writes() || o.Database != database || o.Result != ResultDone || o.Began < event {
			continue
		}

		if first < 0 || o.Ended < first {
			first = o.Ended
		}
	}

	if first < 0 {
		return -1
	}

	return first - event
}
