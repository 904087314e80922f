package labhistory

// Counts tells how the operations of a history ended.
type Counts struct {
	Acknowledged int            `json:"acknowledged"` // writes
	Reads        int            `json:"reads"`        // answered
	NotRun       int            `json:"not_run"`
	Unknown      int            `json:"outcome_unknown"`
	Reasons      map[string]int `json:"reasons,omitempty"` // error texts of those not run or of unknown outcome
}

// Count returns how the operations ended.
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

// IsWrite reports whether the operation changes data.
func (o *Operation) IsWrite() bool {
	return o.Kind == KindWrite || o.Kind == KindIdempotentInsert
}
