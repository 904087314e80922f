package labvoters

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	simulatedStep     = 100 * time.Millisecond
	simulatedElection = 800 * time.Millisecond // time without a leader after the end of one
	simulatedJoin     = time.Second            // time from the start of an instance to its first report
	simulatedReturn   = time.Second            // time from the loss of a disk to the start under a new identity
)

// simulatedInstance is an instance of a simulated group.
type simulatedInstance struct {
	zone           string
	joinsAt        time.Duration
	endsAt         time.Duration // 0 if it keeps running
	announcesItEnd bool
}

// simulatedGroup makes the changes of GroupState as the leader of a group would, while instances start and end.
type simulatedGroup struct {
	t         *testing.T
	state     GroupState
	instances map[lab.InstanceID]*simulatedInstance
	now       time.Duration
	ledSince  time.Duration
	changes   int
}

func (g *simulatedGroup) live(id lab.InstanceID) bool {
	i := g.instances[id]

	return g.now >= i.joinsAt && (i.endsAt == 0 || g.now < i.endsAt)
}

func (g *simulatedGroup) liveVoters() []lab.InstanceID {
	return slices.DeleteFunc(slices.Clone(g.state.Membership.Voters), func(id lab.InstanceID) bool { return !g.live(id) })
}

// run makes changes until a time and asserts that a quorum of the voters runs at each moment.
func (g *simulatedGroup) run(until time.Duration) {
	g.t.Helper()

	for ; g.now < until; g.now += simulatedStep {
		voters := g.liveVoters()
		assert.Assert(g.t, len(voters) > len(g.state.Membership.Voters)/2, "no quorum at %v: %v of %v run", g.now, voters, g.state.Membership)

		if !slices.Contains(voters, g.state.Self) {
			g.state.Self, g.ledSince = voters[0], g.now+simulatedElection
		}

		if g.now >= g.ledSince {
			g.change()
		}
	}
}

func (g *simulatedGroup) change() {
	s, m := &g.state, &g.state.Membership
	s.LiveInstances, s.SilentFor = nil, map[lab.InstanceID]time.Duration{}
	s.Zones, s.Stopped = map[lab.InstanceID]string{}, map[lab.InstanceID]bool{}

	for id, i := range g.instances {
		if s.Zones[id] = i.zone; g.live(id) {
			s.LiveInstances = append(s.LiveInstances, id)
		} else if i.endsAt > 0 && g.now >= i.endsAt {
			s.SilentFor[id], s.Stopped[id] = g.now-i.endsAt, i.announcesItEnd
		}
	}

	slices.Sort(s.LiveInstances)
	s.CaughtUp = slices.DeleteFunc(slices.Clone(m.Learners), func(id lab.InstanceID) bool { return !g.live(id) })

	c, ok := s.NextChange()
	if !ok {
		return
	}

	g.changes++
	is := func(id lab.InstanceID) bool { return id == c.Instance }
	m.Voters, m.Learners = slices.DeleteFunc(m.Voters, is), slices.DeleteFunc(m.Learners, is)

	switch c.Kind {
	case labreplica.ChangeAddLearner:
		m.Joined[c.Instance] = uint64(g.changes)
		m.Learners = append(m.Learners, c.Instance)
	case labreplica.ChangeDemote:
		m.Learners = append(m.Learners, c.Instance)
	case labreplica.ChangePromote:
		m.Voters = append(m.Voters, c.Instance)
	case labreplica.ChangeRemove:
	}
}

// TestSuccession guards against a group that loses its quorum when a replaced instance ends at any moment between the start of its
// successor and the loss of another disk, with or without a notice, and against one that isn't complete for the loss after it.
func TestSuccession(t *testing.T) {
	for end := time.Duration(0); end <= DefaultCatchUpPeriod+time.Second; end += simulatedStep {
		for _, leader := range []lab.InstanceID{"a", "c"} {
			for _, announced := range []bool{false, true} {
				for _, lost := range []lab.InstanceID{"a", "b", "d/1"} {
					t.Run(fmt.Sprint(end, " led by ", leader, " announced ", announced, " then ", lost), func(t *testing.T) {
						testSuccession(t, end, leader, announced, lost)
					})
				}
			}
		}
	}
}

// testSuccession starts d at time 0 as the successor of c.
func testSuccession(t *testing.T, end time.Duration, leader lab.InstanceID, announced bool, lost lab.InstanceID) {
	t.Helper()

	g := &simulatedGroup{t: t, instances: map[lab.InstanceID]*simulatedInstance{
		"a": {zone: "1"}, "b": {zone: "2"}, "c": {zone: "3", endsAt: max(end, 1), announcesItEnd: announced},
		"d/1": {zone: "3", joinsAt: simulatedJoin},
	}}
	g.state = GroupState{Self: leader, TargetVoters: 3, Membership: labreplica.Membership{
		Voters: ids("a", "b", "c"), Joined: map[lab.InstanceID]uint64{},
	}}

	// Each later loss comes as soon as the one before has stopped counting.
	losses := []lab.InstanceID{lost, "b/2", "a/2"}
	for n, id := range losses {
		g.run(g.now + DefaultCatchUpPeriod)

		if g.instances[id] == nil {
			id = lab.InstanceID(Address(id))
		}

		i := g.instances[id]
		i.endsAt = g.now
		started := g.now + simulatedReturn
		g.instances[lab.InstanceID(fmt.Sprint(Address(id), AddressSeparator, n+2))] = &simulatedInstance{zone: i.zone, joinsAt: started + simulatedJoin}
		g.run(started)
	}

	g.run(g.now + DefaultCatchUpPeriod)
	assert.Equal(t, len(g.state.Membership.Voters), 3)
	assert.Equal(t, len(g.liveVoters()), 3, "%v", g.state.Membership)
	assert.Assert(t, g.changes < 20, "%d changes", g.changes)
}
