package labsession

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// Deadlines of requests whose organisation states none.
const (
	readDeadline    = 5 * time.Second
	writeDeadline   = 10 * time.Second
	mayWaitDeadline = 60 * time.Second
)

// header describes the transaction that a unit opens.
func (s *Session) header(u *unit) (lab.TransactionHeader, *failure) {
	o, ok := s.server.Routes.Organisation(s.organisation)
	if !ok || o.Deleted {
		return lab.TransactionHeader{}, &failure{codeInvalidAuth, "organisation " + s.organisation + " no longer exists", ""}
	}

	if !slices.Contains(o.Databases, s.database) {
		return lab.TransactionHeader{}, &failure{codeNoDatabase, "database " + s.database + " is no longer one of the organisation's", ""}
	}

	h := lab.TransactionHeader{
		Organisation:   s.organisation,
		Database:       s.database,
		AdmissionClass: lab.ClassWrite,
		MinPosition:    s.token.Floor(s.database),
	}

	tags := u.tags
	if s.block.begin != "" {
		tags.Add(u.refTags) // drivers prepare a statement in a unit of its own before they execute it
	}

	once, class, readClass, f := s.choose(tags, o)
	if f != nil {
		return h, f
	}

	h.IdempotencyKey = once
	h.ReadOnly = once == "" && u.replica(&s.block)

	if h.ReadOnly {
		h.AdmissionClass = lab.ClassInteractive
		if c, found := o.ReadClass(readClass); found {
			h.MaxStaleness = time.Duration(c.MaxStalenessMS) * time.Millisecond
		}
	}

	h.ReadOnly = h.ReadOnly && !s.roaming.primaryOnly()

	if class == classMayWait {
		h.AdmissionClass = lab.ClassDeferrable
	}

	h.TimeLeft = s.deadline(h.AdmissionClass, o.Parameters)

	return h, nil
}

// choose merges the options of the text, the transaction and the session; the nearest one counts.
func (s *Session) choose(t labstatement.Tags, o *lab.Organisation) (once, class, readClass string, f *failure) {
	first := func(names ...string) string {
		for _, n := range names {
			if n != "" {
				return n
			}
		}

		return ""
	}

	once = first(t.Once, s.block.local.once)
	class = first(s.block.local.class, s.options.class)
	readClass = first(s.block.local.readClass, s.options.readClass)

	if t.Class == classMayWait {
		class = classMayWait
	} else if t.Class != "" {
		if _, ok := o.ReadClass(t.Class); !ok {
			return "", "", "", &failure{codeInvalidParameter, "unknown class " + t.Class, ""}
		}

		readClass = t.Class
	}

	return once, class, readClass, nil
}

func (s *Session) deadline(class lab.AdmissionClass, p lab.Parameters) time.Duration {
	first := func(milliseconds int64, rest ...time.Duration) time.Duration {
		if milliseconds > 0 {
			return time.Duration(milliseconds) * time.Millisecond
		}

		if rest[0] > 0 {
			return rest[0]
		}

		return rest[1]
	}

	switch class {
	case lab.ClassInteractive:
		return first(p.ReadDeadlineMS, s.server.ReadDeadline, readDeadline)
	case lab.ClassDeferrable:
		return first(p.DeferrableDeadlineMS, s.server.MayWaitDeadline, mayWaitDeadline)
	case lab.ClassWrite:
	}

	return first(p.WriteDeadlineMS, s.server.WriteDeadline, writeDeadline)
}
