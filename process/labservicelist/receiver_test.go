package labservicelist

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestList passes lists from a proxy to control instances. It guards against a proxy that gets no positions of a service
// that it uses, whose reads would all run at the primary.
func TestList(t *testing.T) {
	proxy := lab.Instance{ID: "p", Incarnation: 1}

	// exchange sends a list and returns the request.
	exchange := func(t *testing.T, s *Sender, r *Receiver, services ...string) lab.ServiceChanges {
		t.Helper()

		c := s.Changes(services)
		if got, ok := r.Apply(proxy, c, 0); ok {
			assert.DeepEqual(t, got, services)
			s.RecordResponse(c.Revision)
		}

		return c
	}

	t.Run("changes", func(t *testing.T) {
		var (
			s Sender
			r Receiver
		)

		exchange(t, &s, &r, "a", "b")

		c := exchange(t, &s, &r, "b", "c")
		assert.DeepEqual(t, c.Added, []string{"c"})
		assert.DeepEqual(t, c.Removed, []string{"a"})

		c = exchange(t, &s, &r, "b", "c")
		assert.Equal(t, len(c.Added)+len(c.Removed), 0, "an unchanged list")
		assert.Equal(t, c.Base, c.Revision)
	})

	t.Run("request without an answer", func(t *testing.T) {
		var (
			s Sender
			r Receiver
		)

		exchange(t, &s, &r, "a", "b")
		r.Apply(proxy, s.Changes([]string{"b"}), 0)

		c := exchange(t, &s, &r, "c")
		assert.Equal(t, c.Base, uint64(0))
		assert.DeepEqual(t, c.Added, []string{"c"})
	})

	t.Run("list that isn't known", func(t *testing.T) {
		var (
			s Sender
			r Receiver
		)

		exchange(t, &s, &r, "a")

		for name, other := range map[string]func(lab.ServiceChanges) bool{
			"another instance": func(c lab.ServiceChanges) bool {
				_, ok := new(Receiver).Apply(proxy, c, 0)

				return ok
			},
			"another run of the proxy": func(c lab.ServiceChanges) bool {
				_, ok := r.Apply(lab.Instance{ID: "p", Incarnation: 2}, c, 0)

				return ok
			},
			"expired": func(c lab.ServiceChanges) bool {
				_, ok := r.Apply(proxy, c, expiry+1)

				return ok
			},
		} {
			assert.Assert(t, !other(s.Changes([]string{"a", "b"})), name)
			s.RecordResponse(0)
			exchange(t, &s, &r, "a")
		}
	})

	t.Run("proxy that needs all positions", func(t *testing.T) {
		var r Receiver

		_, ok := r.Apply(proxy, lab.ServiceChanges{Added: slices.Repeat([]string{"a"}, 2)}, time.Second)
		assert.Assert(t, !ok)
	})
}
