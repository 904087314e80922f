package labsession

// RetryBudget limits automatic retries to a share of the requests. It is safe for concurrent use.
type RetryBudget interface {
	// Request records a request, which earns a share of a retry.
	Request()
	// Retry takes one retry from the budget and reports whether there was one.
	Retry() bool
}
