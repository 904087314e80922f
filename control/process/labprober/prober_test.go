package labprober_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labprober"
	"laburnumlock.dev/lab/standin/process/labstandin"
)

func start(t *testing.T) (*labstandin.Group, context.Context) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	g := &labstandin.Group{
		Database: "d", User: "u", Password: "secret",
		Members: []labstandin.MemberConfig{{Name: "a"}, {Name: "b"}, {Name: "c"}},
	}
	assert.NilError(t, g.Start(ctx))
	t.Cleanup(func() { g.Stop(); cancel() })

	return g, ctx
}

func member(g *labstandin.Group, name string) lab.Announcement {
	for _, a := range g.Announcements() {
		if a.Member == name {
			return a
		}
	}

	return lab.Announcement{}
}

func TestProber(t *testing.T) {
	g, ctx := start(t)
	p := &labprober.Prober{User: "u", Password: "secret"}

	t.Run("status", func(t *testing.T) {
		s, err := p.Status(ctx, member(g, "a"))
		assert.NilError(t, err)
		assert.Equal(t, s.InRecovery, false)
		assert.Equal(t, s.Replayed.Term, lab.PrimaryTerm(1))
	})

	t.Run("wrong password", func(t *testing.T) {
		_, err := (&labprober.Prober{User: "u", Password: "wrong"}).Status(ctx, member(g, "a"))
		assert.ErrorContains(t, err, "connect to member a")
	})

	// Guards against promoting a member again when another control instance resumes the promotion.
	t.Run("promotion is idempotent", func(t *testing.T) {
		g.Member("a").Kill()

		first, err := p.Promote(ctx, member(g, "b"))
		assert.NilError(t, err)
		assert.Equal(t, first.Replayed.Term, lab.PrimaryTerm(2))

		second, err := p.Promote(ctx, member(g, "b"))
		assert.NilError(t, err)
		assert.Equal(t, second.Replayed, first.Replayed)
	})

	t.Run("lost member", func(t *testing.T) {
		_, err := p.Status(ctx, member(g, "a"))
		assert.ErrorContains(t, err, "connect to member a")
	})
}
