package labsession

import "laburnumlock.dev/lab"

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusActive = 'T'
	statusFailed = 'E'
)

// block is the state of the session's transaction.
type block struct {
	bound    lab.Transaction // nil when nothing is open at a gateway
	begin    string          // a BEGIN answered by the session and not yet sent
	readOnly bool            // that BEGIN is READ ONLY
	failed   bool            // aborted here, with nothing open at a gateway
	active   bool            // a transaction block is open
	broken   bool            // the upstream reported the block as failed
	local    options         // SET LOCAL of the system's parameters
	changes  []change        // settings that count when the block commits
}

func (b *block) status() byte {
	switch {
	case b.failed || b.broken:
		return statusFailed
	case b.active:
		return statusActive
	}

	return statusIdle
}

// start records a BEGIN that is sent with the first statement.
func (b *block) start(text string, readOnly bool) {
	*b = block{begin: text, readOnly: readOnly, active: true}
}

// end forgets the block.
func (b *block) end() {
	*b = block{}
}

// fail leaves the block aborted without anything open at a gateway; outside of a block it forgets what there is.
func (b *block) fail() {
	*b = block{failed: b.active || b.failed || b.broken}
}

// update takes over the status reported by the upstream.
func (b *block) update(status byte) {
	b.begin = ""

	switch status {
	case statusActive:
		b.active, b.broken = true, false
	case statusFailed:
		b.active, b.broken = true, true
	default:
		b.end()
	}
}

// abandon closes what is open at a gateway.
func (b *block) abandon() {
	if b.bound != nil {
		b.bound.Close()
	}

	b.end()
}
