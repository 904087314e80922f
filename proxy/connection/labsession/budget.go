package labsession

// RetryBudget limits automatic retries to a share of the requests. It is safe for concurrent use.
type RetryBudget interface {
	// Request records a request, which adds a fraction of a retry to the budget.
	Request()
	// Retry takes one retry from the budget. It returns false when the budget is exhausted.
	Retry() bool
}
