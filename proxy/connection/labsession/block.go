package labsession

import "laburnumlock.dev/lab"

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusActive = 'T'
	statusFailed = 'E'
)

// transactionBlock is the state of the session's transaction.
type transactionBlock struct {
	transaction        lab.Transaction // nil when nothing is open at a gateway
	pendingBegin       string          // a BEGIN answered by the session and not yet sent
	beginReadOnly      bool            // that BEGIN is READ ONLY
	abortedLocally     bool            // aborted here, with nothing open at a gateway
	active             bool            // a transaction block is open
	failedUpstream     bool            // the upstream reported the block as failed
	localOptions       options         // SET LOCAL of the system's parameters
	uncommittedChanges []settingChange // settings that count when the block commits
}

func (b *transactionBlock) status() byte {
	switch {
	case b.abortedLocally || b.failedUpstream:
		return statusFailed
	case b.active:
		return statusActive
	}

	return statusIdle
}

// start records a BEGIN that is sent with the first statement.
func (b *transactionBlock) start(text string, readOnly bool) {
	*b = transactionBlock{pendingBegin: text, beginReadOnly: readOnly, active: true}
}

// end forgets the block.
func (b *transactionBlock) end() {
	*b = transactionBlock{}
}

// fail leaves the block aborted without anything open at a gateway; outside of a block it forgets what there is.
func (b *transactionBlock) fail() {
	*b = transactionBlock{abortedLocally: b.active || b.abortedLocally || b.failedUpstream}
}

// update takes over the status reported by the upstream.
func (b *transactionBlock) update(status byte) {
	b.pendingBegin = ""

	switch status {
	case statusActive:
		b.active, b.failedUpstream = true, false
	case statusFailed:
		b.active, b.failedUpstream = true, true
	default:
		b.end()
	}
}

// abandon closes what is open at a gateway.
func (b *transactionBlock) abandon() {
	if b.transaction != nil {
		b.transaction.Close()
	}

	b.end()
}
