package labsession

import "laburnumlock.dev/lab/proxy/request/labstatement"

// flush handles a Flush message: it runs the messages of the open batch and sends their response without ReadyForQuery.
//
// A batch sent to the gateway ends with a Sync, which would commit the effects of the flushed messages before the
// client sends its own Sync. Outside of a transaction block, the proxy therefore opens an implicit block, which ends
// with the client's Sync.
func (s *Session) flush() {
	b := s.openBatch
	if b == nil {
		return
	}

	s.openBatch = &messageBatch{portals: b.portals}

	if s.block.status() == statusIdle && len(b.portals) > 0 && !b.startsBlock() {
		s.block.start("BEGIN", false)
		s.implicitBlock = true
	}

	s.withholdReady = true
	s.runCollected(b)
	s.withholdReady = false

	if s.block.status() == statusIdle {
		s.openBatch = nil
	}
}

// startsBlock reports whether the batch contains a statement that starts a transaction block.
func (b *messageBatch) startsBlock() bool {
	for _, e := range b.statements {
		if e.Kind() == labstatement.Begin || e.Kind() == labstatement.BeginReadOnly {
			return true
		}
	}

	return false
}

// syncImplicitBlock handles a Sync message in an implicit block: it runs the messages since the last Flush and ends the
// block.
func (s *Session) syncImplicitBlock(b *messageBatch) {
	s.withholdReady = true

	if b != nil && (len(b.steps) > 0 || b.failure != nil) {
		s.runCollected(b)
	}

	if s.implicitBlock {
		s.implicitBlock = false
		s.endImplicitBlock(b)
	}

	s.withholdReady, s.skipToSync = false, false
	s.endResponse(nil)
}

// endImplicitBlock commits the implicit block, or rolls it back when it has failed.
func (s *Session) endImplicitBlock(b *messageBatch) {
	if b != nil && b.startsBlock() && s.block.status() == statusActive {
		return // the client's own BEGIN made it an explicit block
	}

	if s.block.transaction == nil {
		s.block.end()

		return
	}

	text := "COMMIT"
	if s.block.status() == statusFailed {
		text = "ROLLBACK"
	}

	end := messageBatch{simple: true, text: text, steps: hiddenSteps(1), executeCount: 1}
	if t, err := labstatement.Parse(text); err == nil {
		end.statements = t.Statements()
	}

	s.runBatch(&end)
}
