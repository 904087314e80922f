package labsession

import "laburnumlock.dev/lab/proxy/request/labstatement"

// flush runs the messages collected so far and answers them without ReadyForQuery. A unit at the gateway ends with a
// Sync, which would commit them on their own; so outside of a transaction they are run in a block that the caller's
// Sync commits.
func (s *Session) flush() {
	u := s.open
	if u == nil {
		return
	}

	s.open = &unit{portals: u.portals}

	if s.block.status() == statusIdle && len(u.portals) > 0 && !u.begins() {
		s.block.start("BEGIN", false)
		s.implicit = true
	}

	s.flushing = true
	s.runOpen(u)
	s.flushing = false

	if s.block.status() == statusIdle {
		s.open = nil
	}
}

// begins reports whether the unit contains the start of a transaction block.
func (u *unit) begins() bool {
	for _, e := range u.executes {
		if e.Kind() == labstatement.Begin || e.Kind() == labstatement.BeginReadOnly {
			return true
		}
	}

	return false
}

// syncImplicit runs the messages since the last Flush and ends the block that was opened for them.
func (s *Session) syncImplicit(u *unit) {
	s.flushing = true

	if u != nil && (len(u.steps) > 0 || u.fault != nil) {
		s.runOpen(u)
	}

	if s.implicit {
		s.implicit = false
		s.endImplicit(u)
	}

	s.flushing, s.skipping = false, false
	s.ready(nil)
}

func (s *Session) endImplicit(u *unit) {
	if u != nil && u.begins() && s.block.status() == statusActive {
		return // the caller made it a block of its own
	}

	if s.block.bound == nil {
		s.block.end()

		return
	}

	text := "COMMIT"
	if s.block.status() == statusFailed {
		text = "ROLLBACK"
	}

	end := unit{simple: true, text: text, steps: hidden(1), executed: 1}
	if t, err := labstatement.Parse(text); err == nil {
		end.executes = t.Statements()
	}

	s.run(&end)
}
