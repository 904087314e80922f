package labsession

import "laburnumlock.dev/lab/proxy/request/labstatement"

// flush runs the messages collected so far and answers them without ReadyForQuery. A unit at the gateway ends with a
// Sync, which would commit them on their own; so outside of a transaction they are run in a block that the caller's
// Sync commits.
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

	s.flushing = true
	s.runCollected(b)
	s.flushing = false

	if s.block.status() == statusIdle {
		s.openBatch = nil
	}
}

// startsBlock reports whether the unit contains the start of a transaction block.
func (b *messageBatch) startsBlock() bool {
	for _, e := range b.statements {
		if e.Kind() == labstatement.Begin || e.Kind() == labstatement.BeginReadOnly {
			return true
		}
	}

	return false
}

// syncImplicitBlock runs the messages since the last Flush and ends the block that was opened for them.
func (s *Session) syncImplicitBlock(b *messageBatch) {
	s.flushing = true

	if b != nil && (len(b.steps) > 0 || b.failure != nil) {
		s.runCollected(b)
	}

	if s.implicitBlock {
		s.implicitBlock = false
		s.endImplicitBlock(b)
	}

	s.flushing, s.skipToSync = false, false
	s.endResponse(nil)
}

func (s *Session) endImplicitBlock(b *messageBatch) {
	if b != nil && b.startsBlock() && s.block.status() == statusActive {
		return // the caller made it a block of its own
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
