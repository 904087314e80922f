package labpromoter

import "time"

// Pending reports whether the database has a promotion in progress or may need one. It performs no I/O.
func (p *Promoter) Pending(now time.Duration, database string) bool {
	return p.mayNeedStep(now, database)
}
