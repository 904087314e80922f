package labsession

// RetryBudget limits automatic retries to a share of the requests. It is safe for concurrent use.
type RetryBudget interface {
	// RecordRequest records a request, which adds a fraction of a retry to the budget.
	RecordRequest()
	// TakeRetry takes one retry from the budget. It returns false when the budget is exhausted.
	TakeRetry() bool
}
