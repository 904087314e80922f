package labhistory

// Counts holds the number of operations of a history by result.
type Counts struct {
	Acknowledged int            `json:"acknowledged"` // number of acknowledged writes
	Reads        int            `json:"reads"`        // number of successful reads
	NotRun       int            `json:"not_run"`
	Unknown      int            `json:"outcome_unknown"`
	Reasons      map[string]int `json:"reasons,omitempty"` // number of operations with an error, by error text
}

// Count counts the operations by result.
func Count(operations []Operation) Counts {
	c := Counts{Reasons: map[string]int{}}

	for _, o := range operations {
		switch {
		case o.Result == ResultNotRun:
			c.NotRun++
		case o.Result == ResultUnknown:
			c.Unknown++
		case o.IsWrite():
			c.Acknowledged++
		default:
			c.Reads++
		}

		if o.Result != ResultDone {
			c.Reasons[o.Reason]++
		}
	}

	return c
}

// IsWrite reports whether the operation writes data.
func (o *Operation) IsWrite() bool {
	return o.Kind == KindWrite || o.Kind == KindIdempotentInsert
}
