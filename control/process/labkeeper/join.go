package labkeeper

import (
	"context"
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 400 * time.Millisecond
	// reportAge is how long a join request counts, four of its intervals.
	reportAge     = 4 * joinInterval
	changeTimeout = time.Second
)

// join tells the leader again and again that this instance is there, and learns whether it is still a member.
func (k *Keeper) join(ctx context.Context) error {
	for k.Clock.Sleep(ctx, joinInterval) == nil {
		if k.Leading() {
			k.report(k.part().identity.id)

			continue
		}

		if l, ok := k.leader(); ok {
			k.askJoin(ctx, labvoters.Address(l))

			continue
		}

		for _, a := range k.addresses() {
			if a != k.Address && k.askJoin(ctx, a) {
				break
			}
		}
	}

	return nil
}

// askJoin reports whether the instance at the address led or knew the leader and that one was asked.
func (k *Keeper) askJoin(ctx context.Context, address string) bool {
	a, err := k.callJoin(ctx, address)
	if err != nil {
		return false
	}

	if a.Leader != "" && labvoters.Address(a.Leader) != address {
		if a, err = k.callJoin(ctx, labvoters.Address(a.Leader)); err != nil {
			return false
		}
	}

	if a.Removed {
		p := k.part()
		p.once.Do(func() { close(p.removed) })
	}

	return a.Leader != ""
}

func (k *Keeper) callJoin(ctx context.Context, address string) (joinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()

	var a joinAnswer

	err := k.Transport.Call(ctx, address, methodJoin, joinRequest{ID: k.part().identity.id, Fresh: !k.member()}, &a)

	return a, err
}

// member reports whether this instance's own log names it as a member.
func (k *Keeper) member() bool {
	return slices.Contains(k.part().group.Members().Instances(), k.part().identity.id)
}

// addresses returns the process addresses of the control instances that this one knows of.
func (k *Keeper) addresses() []string {
	out := slices.Clone(k.Seeds())

	if g := k.part().group; g != nil {
		for _, m := range g.Members().Instances() {
			out = append(out, labvoters.Address(m))
		}
	}

	slices.Sort(out)

	return slices.Compact(out)
}

func (k *Keeper) handleJoin(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r joinRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	g := k.part().group
	if g == nil {
		return joinAnswer{}, nil
	}

	m := g.Members()
	a := joinAnswer{Leader: g.Leadership().Leader}

	if !k.Leading() {
		return a, nil
	}

	k.hear(r.ID)

	if !r.Fresh && !slices.Contains(m.Instances(), r.ID) {
		a.Removed = true

		return a, nil
	}

	k.report(r.ID)

	return a, nil
}

func (k *Keeper) report(id lab.InstanceID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.reports.Record(id, k.Clock.Now())
}

// tendMembers makes the next change of the group's membership, if one is due.
func (k *Keeper) tendMembers(ctx context.Context) {
	g := k.part().group
	p := k.plan(g.Members(), g.Leadership().Since)

	c, ok := p.Next()
	if !ok {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()

	var err error

	switch c.Kind {
	case labreplica.ChangeAddLearner:
		err = g.AddLearner(ctx, c.Instance)
	case labreplica.ChangePromote:
		err = g.Promote(ctx, c.Instance)
	case labreplica.ChangeRemove:
		err = g.Remove(ctx, c.Instance)
	}

	k.Counters.Memberships.Add(1)
	k.Log.Info().Uint8("change", uint8(c.Kind)).Str("member", string(c.Instance)).
		Int("voters", len(p.Membership.Voters)).Dur("silent", p.SilentFor[c.Instance]).AnErr("error", err).Msg("membership_change")
}

func (k *Keeper) plan(m labreplica.Membership, since time.Duration) *labvoters.Plan {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	const copiesPerLoss = 2 // a quorum survives f losses of 2f+1 voters

	now := k.Clock.Now()
	p := &labvoters.Plan{
		Self: k.part().identity.id, Membership: m, TargetVoters: copiesPerLoss*k.Losses + 1, SilentFor: map[lab.InstanceID]time.Duration{},
	}

	p.Reporting = k.reports.Live(now)

	for _, id := range m.Instances() {
		p.SilentFor[id] = now - max(k.heard[id], since)
	}

	return p
}
