package labsession

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// Deadlines of requests when neither the organisation nor the Server sets one.
const (
	defaultReadDeadline       = 5 * time.Second
	defaultWriteDeadline      = 10 * time.Second
	defaultDeferrableDeadline = 60 * time.Second
)

// transactionHeader returns the header of the transaction that a batch opens.
func (s *Session) transactionHeader(b *messageBatch) (lab.TransactionHeader, *failure) {
	o, ok := s.server.Catalog.Organisation(s.organisation)
	if !ok || o.Deleted {
		return lab.TransactionHeader{}, &failure{codeInvalidAuth, "organisation " + s.organisation + " no longer exists", ""}
	}

	if !slices.Contains(o.Databases, s.database) {
		return lab.TransactionHeader{}, &failure{
			codeNoDatabase, "database " + s.database + " is no longer assigned to the organisation", "",
		}
	}

	h := lab.TransactionHeader{
		Organisation:   s.organisation,
		Database:       s.database,
		AdmissionClass: lab.ClassWrite,
		MinPosition:    s.token.MinPosition(s.database),
	}

	tags := b.tags
	if s.block.pendingBegin != "" {
		// A driver may prepare a statement in one batch and execute it in the next. The first batch opens the
		// transaction, so the tags of a statement that is only prepared must already apply to the transaction.
		tags.FillFrom(b.referencedTags)
	}

	idempotencyKey, class, readClass, f := s.resolveOptions(tags, o)
	if f != nil {
		return h, f
	}

	h.IdempotencyKey = idempotencyKey
	h.ReadOnly = idempotencyKey == "" && b.canRunOnReplica(&s.block)

	if h.ReadOnly {
		h.AdmissionClass = lab.ClassInteractive
		if c, found := o.ReadClass(readClass); found {
			h.MaxStaleness = time.Duration(c.MaxStalenessMS) * time.Millisecond
		}
	}

	h.ReadOnly = h.ReadOnly && !s.namedSession.primaryOnly()

	if class == classDeferrable {
		h.AdmissionClass = lab.ClassDeferrable
	}

	h.TimeLeft = s.deadline(h.AdmissionClass, o.Parameters)

	return h, nil
}

// resolveOptions merges the options of the statement tags, the transaction and the session, in descending precedence.
func (s *Session) resolveOptions(
	tags labstatement.Tags, o *lab.Organisation,
) (idempotencyKey, class, readClass string, f *failure) {
	firstNonEmpty := func(names ...string) string {
		for _, n := range names {
			if n != "" {
				return n
			}
		}

		return ""
	}

	idempotencyKey = firstNonEmpty(tags.IdempotencyKey, s.block.localOptions.idempotencyKey)
	class = firstNonEmpty(s.block.localOptions.class, s.options.class)
	readClass = firstNonEmpty(s.block.localOptions.readClass, s.options.readClass)

	if tags.Class == classDeferrable {
		class = classDeferrable
	} else if tags.Class != "" {
		if _, ok := o.ReadClass(tags.Class); !ok {
			return "", "", "", &failure{codeInvalidParameter, "unknown class " + tags.Class, ""}
		}

		readClass = tags.Class
	}

	return idempotencyKey, class, readClass, nil
}

// deadline returns the time limit of a request: that of the organisation, else that of the Server, else the default.
func (s *Session) deadline(class lab.AdmissionClass, p lab.Parameters) time.Duration {
	firstPositive := func(milliseconds int64, fallbacks ...time.Duration) time.Duration {
		if milliseconds > 0 {
			return time.Duration(milliseconds) * time.Millisecond
		}

		if fallbacks[0] > 0 {
			return fallbacks[0]
		}

		return fallbacks[1]
	}

	switch class {
	case lab.ClassInteractive:
		return firstPositive(p.ReadDeadlineMS, s.server.ReadDeadline, defaultReadDeadline)
	case lab.ClassDeferrable:
		return firstPositive(p.DeferrableDeadlineMS, s.server.DeferrableDeadline, defaultDeferrableDeadline)
	case lab.ClassWrite:
	}

	return firstPositive(p.WriteDeadlineMS, s.server.WriteDeadline, defaultWriteDeadline)
}
