package labsession

import "laburnumlock.dev/lab"

// Transaction status values of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusActive = 'T'
	statusFailed = 'E'
)

// transactionBlock is the state of the transaction at a gateway and of the transaction block that the client sees.
type transactionBlock struct {
	transaction        lab.Transaction // transaction open at a gateway; nil when there is none
	pendingBegin       string          // a BEGIN statement acknowledged to the client but not yet sent upstream
	beginReadOnly      bool            // the pending BEGIN specifies READ ONLY
	abortedLocally     bool            // the block is aborted, and no transaction is open at a gateway
	active             bool            // a transaction block is open for the client
	failedUpstream     bool            // the upstream reported the transaction as failed
	localOptions       options         // values of the proxy's parameters set with SET LOCAL
	uncommittedChanges []settingChange // setting changes to apply when the block commits
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

// start records a BEGIN statement, which is sent upstream together with the next statement.
func (b *transactionBlock) start(text string, readOnly bool) {
	*b = transactionBlock{pendingBegin: text, beginReadOnly: readOnly, active: true}
}

// end resets the block to idle.
func (b *transactionBlock) end() {
	*b = transactionBlock{}
}

// fail marks an open block as aborted, without a transaction at a gateway. Outside of a block it resets the state to
// idle.
func (b *transactionBlock) fail() {
	*b = transactionBlock{abortedLocally: b.active || b.abortedLocally || b.failedUpstream}
}

// update applies the transaction status reported by the upstream.
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

// abandon closes the transaction at the gateway, if one is open, and resets the block to idle.
func (b *transactionBlock) abandon() {
	if b.transaction != nil {
		b.transaction.Close()
	}

	b.end()
}
