package labinstance

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/request/laboperator"
)

// Guards against a replacement after which the group doesn't survive the loss of another instance, and against an
// instance that votes after it has lost its earlier votes and changes.
func TestReplaceLostDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run("a", "b", "c")
	leader := c.leader("a", "b", "c")
	rest := slices.DeleteFunc([]string{"a", "b", "c"}, func(n string) bool { return n == leader })
	lost, second := rest[0], rest[1]
	o := c.operator("a", "b", "c")
	c.makeChanges(o, changeCount)
	c.loseDisk(lost)

	t.Run("the old name may not bootstrap a group", func(t *testing.T) {
		c.restart(lost)
		select {
		case err := <-c.instances[lost].done:
			c.instances[lost].done = nil
			assert.ErrorIs(t, err, ErrGroupExists)
			assert.ErrorContains(t, err, `"join": true`)
		case <-time.After(5 * time.Second):
			t.Fatal("an instance that lost its disk still runs under its old name")
		}
	})

	addresses := c.join("d", leader, second)
	o = c.operator(leader, second)
	_, err := o.AddControl(t.Context(), "d", addresses)
	assert.NilError(t, err)
	_, err = o.RemoveControl(t.Context(), lost)
	assert.NilError(t, err)
	assertVoters(t, o, leader, second, "d")
	assertAudited(t, o, "control_add", "control_added", "control_removed")

	t.Run("a removed name stays out", func(t *testing.T) {
		_, err := o.AddControl(t.Context(), lost, addresses)
		assertRefused(t, err, "use a new one")
	})

	// While the old leader is stopped, every quorum includes the new instance d, which may also become the leader.
	c.stop(leader)
	o = c.operator(second, "d")
	c.assertChanges(o, changeCount)
	_, err = put(t.Context(), o, "after", "after", 0)
	assert.NilError(t, err)

	t.Run("a change that leaves no quorum is refused", func(t *testing.T) {
		follower := second
		if c.leader(second, "d") == second {
			follower = "d"
		}
		_, err := o.RemoveControl(t.Context(), follower)
		assertRefused(t, err, "1 of 2 voters reachable")
		assertVoters(t, o, leader, second, "d")
	})
}

func assertRefused(t *testing.T, err error, text string) {
	t.Helper()
	var s *laboperator.StatusError
	assert.Assert(t, errors.As(err, &s), "%v", err)
	assert.Equal(t, s.Code, http.StatusConflict, "%v", err)
	assert.ErrorContains(t, err, text)
}

func assertVoters(t *testing.T, o *laboperator.Client, names ...string) {
	t.Helper()
	slices.Sort(names)
	g, err := o.Control(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, g.Voters, names)
	assert.Equal(t, len(g.Learners), 0)
	assert.Assert(t, slices.Contains(names, g.Leader) && g.AppliedIndex > changeCount)
}

func assertAudited(t *testing.T, o *laboperator.Client, actions ...string) {
	t.Helper()
	var trail struct {
		Records []struct {
			Operator string `json:"operator"`
			Action   string `json:"action"`
		} `json:"records"`
	}
	assert.NilError(t, o.Do(t.Context(), "GET", "/v1/audit?limit=10000", nil, &trail))
	for _, a := range actions {
		found := slices.ContainsFunc(trail.Records, func(r struct {
			Operator string `json:"operator"`
			Action   string `json:"action"`
		},
		) bool {
			return r.Action == a && r.Operator == "operator"
		})
		assert.Assert(t, found, a)
	}
}

// Guards against a bootstrap that never ends, or that refuses an instance after its peers have started the group.
func TestBootstrap(t *testing.T) {
	for name, order := range map[string][][]string{
		"at once": {{"a", "b", "c"}}, "one after another": {{"a"}, {"b"}, {"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			for _, names := range order {
				c.run(names...)
				time.Sleep(200 * time.Millisecond)
			}
			c.leader("a", "b", "c")
			c.makeChanges(c.operator("a", "b", "c"), 3)
			for _, n := range []string{"a", "b", "c"} {
				for end := time.Now().Add(testTimeout); c.instances[n].publishedGroup.Load().AppliedIndex() < 3; time.Sleep(pollInterval) {
					assert.Assert(t, time.Now().Before(end), "%s has not applied all changes", n)
				}
			}
		})
	}
}

// Guards against the loss of changes when the whole group restarts.
func TestRestartAll(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run("a", "b", "c")
	c.makeChanges(c.operator("a", "b", "c"), changeCount)
	c.stop("a", "b", "c")
	c.restart("a", "b", "c")
	c.assertChanges(c.operator("a", "b", "c"), changeCount)
}

// Guards against accepting the concurrent changes of two operators that have the same base version.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run("a", "b", "c")
	first, second := c.operator("a"), c.operator("b")
	for base := range uint64(20) {
		type outcome struct {
			result laboperator.ChangeResult
			err    error
		}
		results := make(chan outcome, 2)
		for id, o := range map[string]*laboperator.Client{"first": first, "second": second} {
			go func() {
				a, err := put(t.Context(), o, "raced", id+string(rune('a'+base)), base)
				results <- outcome{a, err}
			}()
		}
		x, y := <-results, <-results
		if x.err != nil {
			x, y = y, x
		}
		assert.NilError(t, x.err)
		assertRefused(t, y.err, x.result.ChangeID)
	}
}
