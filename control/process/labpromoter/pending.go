package labpromoter

import "time"

// Pending reports whether a promotion of the database runs or may start now, without any I/O.
func (p *Promoter) Pending(now time.Duration, database string) bool {
	return p.mayNeedStep(now, database)
}
