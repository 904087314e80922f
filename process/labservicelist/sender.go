package labservicelist

import (
	"slices"

	"laburnumlock.dev/lab"
)

// Sender remembers which list the receiver of the latest request has. It is not safe for concurrent use.
type Sender struct {
	revision uint64
	current  map[string]bool // list in the latest request
	received uint64          // revision of the list that the receiver is known to have, 0 if there is none
	previous map[string]bool // list with this revision
}

// Changes returns the changes to the given list for the next request. If the request isn't answered, the receiver may
// have applied them or not, so the request after it has the whole list.
func (s *Sender) Changes(services []string) lab.ServiceChanges {
	current := make(map[string]bool, len(services))
	for _, n := range services {
		current[n] = true
	}

	c := lab.ServiceChanges{Base: s.received}

	for n := range current {
		if !s.previous[n] {
			c.Added = append(c.Added, n)
		}
	}

	for n := range s.previous {
		if !current[n] {
			c.Removed = append(c.Removed, n)
		}
	}

	if s.received == 0 || len(c.Added)+len(c.Removed) > 0 {
		s.revision++
	}

	slices.Sort(c.Added)
	slices.Sort(c.Removed)

	c.Revision = s.revision
	s.current, s.received, s.previous = current, 0, nil

	return c
}

// RecordResponse records the revision of the list by which the latest request was answered.
func (s *Sender) RecordResponse(revision uint64) {
	if revision == s.revision && revision > 0 {
		s.received, s.previous = revision, s.current
	}
}
