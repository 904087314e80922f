package labfailover

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmemberlogs"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

// Bounds of the controller, see labplatformcontrol.
const (
	modelListen       = 2500 * time.Millisecond
	modelAnnouncedMax = 2500 * time.Millisecond
	modelRecovery     = time.Second
	modelRoleLost     = 5 * time.Second
	modelUnreachable  = 500 * time.Millisecond
	modelAttempt      = 8 * time.Second
	modelRetryDelay   = 150 * time.Millisecond
)

// modelLeader is a control instance that was elected the leader. It mirrors the controller and acts until it learns that
// it has been deposed.
type modelLeader struct {
	*model

	registry *labmembers.Registry
	ledger   *labmemberlogs.Ledger
	since    time.Duration

	group     atomic.Pointer[labgroupstate.State]
	deposed   atomic.Bool
	suspended atomic.Bool

	// Guarded by the model's mutex.
	replacing, recording, replaced, pending bool
	unreachableSince, missingSince          time.Duration
	recoveredAt                             time.Duration

	// The list of permissions, guarded by the model's mutex.
	epoch, number uint64
	listed        string
	withdrawn     bool
	holders       map[int]modelHolder
}

// elect lets a control instance lead that knows the given members and the replicated state, but no positions. The former
// leader learns nothing more of the replicated state.
func (w *model) elect(known []labmembers.Entry) {
	if old := w.leader; old != nil {
		old.group.Store(w.frozenState())
	}

	w.epochs++
	l := &modelLeader{
		model: w, epoch: w.epochs, holders: map[int]modelHolder{}, since: w.clock.Now(), ledger: &labmemberlogs.Ledger{Clock: w.clock}, registry: &labmembers.Registry{Clock: w.clock},
	}
	l.group.Store(w.state)

	for _, e := range known {
		l.registry.Apply(e.Announcement, w.clock.Now()-e.LastHeard)
	}

	w.leader = l
}

func (w *model) frozenState() *labgroupstate.State {
	out := &labgroupstate.State{}

	b, err := w.state.Snapshot()
	if err == nil {
		err = out.Restore(b)
	}

	if err != nil {
		panic(err)
	}

	return out
}

// replaceLeader elects another leader, whose disk may be lost.
func (w *model) replaceLeader(empty bool) {
	var known []labmembers.Entry
	if !empty {
		known = w.leader.registry.Entries()
	}

	w.elect(known)

	go w.leader.lead()
}

// suspend lets the leader stop before its next action. It is deposed after modelElection, which it learns after it goes on.
func (w *model) suspend(d time.Duration) {
	l := w.leader
	if !l.suspended.CompareAndSwap(false, true) {
		return
	}

	w.note("leader is suspended for %s", d)

	w.after(modelElection, func() {
		if d > modelElection && w.leader == l {
			w.note("new leader")
			w.replaceLeader(false)
		}
	})
	w.after(d, func() {
		w.note("suspended leader goes on")
		l.suspended.Store(false)
	})
	w.after(d+modelDeposed, func() {
		if w.leader != l {
			l.deposed.Store(true)
		}
	})
}

func (l *modelLeader) waitSuspended() {
	for l.suspended.Load() {
		time.Sleep(time.Millisecond)
	}
}

// leading is what the leader takes for true. A deposed one learns it late.
func (l *modelLeader) leading() bool { return !l.deposed.Load() }

// propose applies a command to the replicated state if the instance still leads.
func (l *modelLeader) propose(c labgroupstate.Command) (any, error) {
	time.Sleep(modelRoundTrip + l.offset(offsetProposal))
	l.waitSuspended()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.apply(c)
}

func (l *modelLeader) apply(c labgroupstate.Command) (any, error) {
	w := l.model
	if w.leader != l || !l.leading() {
		return nil, errNoResponse
	}

	b, err := c.Encode()
	if err != nil {
		return nil, err
	}

	w.index++

	return w.state.Apply(w.index, b), nil
}

// modelOrders mirrors the order log of the controller.
type modelOrders struct {
	*modelLeader

	token uint64
}

// Begin implements OrderLog. If the attempt is open, only the leadership is verified.
func (l *modelOrders) Begin(_ context.Context, service string) (bool, error) {
	if l.group.Load().AttemptOpen(service) {
		time.Sleep(modelRoundTrip + l.offset(offsetProposal))
		l.waitSuspended()

		var err error

		l.locked(func() {
			if l.leader != l.modelLeader || !l.leading() {
				err = errNoResponse
			}
		})

		if err != nil {
			return false, err
		}
	}

	open := l.group.Load().AttemptOpen(service)
	if !open {
		c := labgroupstate.Command{Attempt: &labgroupstate.Attempt{Service: service, Open: true}}
		if _, err := l.propose(c); err != nil {
			return false, err
		}
	}

	if p, _ := l.group.Load().Promotion(service); p.Token != l.token {
		return open, labgroupstate.ErrSuperseded
	}

	return open, nil
}

// Order implements OrderLog.
func (l *modelOrders) Order(
	_ context.Context, service string, member lab.Announcement, former string, received lab.CommitPosition,
) (uint64, error) {
	v, err := l.propose(labgroupstate.Command{Order: &labgroupstate.Order{
		Service: service, Member: member.Member, Address: member.Address, FormerPrimary: former, Bound: received,
		After: l.token, Conditional: true,
	}})
	if err != nil {
		return 0, err
	}

	if err, ok := v.(error); ok {
		return 0, err
	}

	l.token = v.(uint64)

	return l.token, nil
}

// Confirm implements OrderLog.
func (l *modelOrders) Confirm(_ context.Context, service string, token uint64, answered bool) error {
	_, err := l.propose(labgroupstate.Command{
		OrderConfirmed: &labgroupstate.OrderConfirmed{Service: service, Token: token, Answered: answered},
	})
	if err == nil {
		l.locked(func() {
			l.withdrawn = false
			l.notify()
		})
	}

	return err
}

// Refused implements OrderLog.
func (l *modelOrders) Refused(_ context.Context, service string, token uint64) error {
	_, err := l.propose(labgroupstate.Command{OrderRefused: &labgroupstate.OrderRefused{Service: service, Token: token}})

	return err
}

// Open implements OrderLog.
func (l *modelOrders) Open(service string) (out []string) {
	for _, o := range l.group.Load().OpenOrders(service) {
		out = append(out, o.Member)
	}

	return out
}

// End implements OrderLog.
func (l *modelOrders) End(_ context.Context, service string) error {
	_, err := l.propose(labgroupstate.Command{Attempt: &labgroupstate.Attempt{Service: service}})

	return err
}

// modelConnection is a connection to a run of a member.
type modelConnection struct {
	leader *modelLeader
	member *modelMember
	run    uint64
	// announcement is that of the member when the connection was opened; the member's own is guarded by the model's mutex.
	announcement lab.Announcement
}

func (c *modelConnection) Run(deadline time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	_, err := c.leader.State(deadline, c, o[0])

	return []lab.OperationResult{{}}, err
}

func (*modelConnection) Drain(time.Time) (lab.TransactionStatus, error) { return lab.StatusIdle, nil }

func (*modelConnection) InStep(time.Time) error { return nil }
func (c *modelConnection) Alive() bool {
	c.leader.mutex.Lock()
	defer c.leader.mutex.Unlock()

	return c.member.dark || c.leader.isCut(c.member) || (c.member.running && c.member.announcement.Incarnation == c.run)
}
func (*modelConnection) Close() {}

// Dial implements lab.MemberDialer.
func (l *modelLeader) Dial(ctx context.Context, a lab.Announcement, _ string) (lab.MemberConnection, error) {
	w := l.model

	time.Sleep(modelRoundTrip + l.memberOffset(a))
	l.waitSuspended()
	w.mutex.Lock()
	defer w.mutex.Unlock()

	m := w.at(a.Address)

	switch {
	case m != nil && (m.dark || w.isCut(m)):
		w.mutex.Unlock()
		<-ctx.Done()
		time.Sleep(l.memberOffset(a))
		w.mutex.Lock()

		return nil, ctx.Err()
	case m == nil || !m.running:
		return nil, errors.New("connection refused")
	case a.Member != "" && m.announcement.Member != a.Member:
		return nil, lab.NotRunError(lab.ReasonMisrouted, &lab.OtherMemberError{Member: m.announcement.Member})
	}

	return &modelConnection{l, m, m.announcement.Incarnation, m.announcement}, nil
}

// at returns the member at an address.
func (w *model) at(address string) *modelMember {
	for _, m := range w.members {
		if m.announcement.Address == address && !m.gone {
			return m
		}
	}

	return nil
}

// State implements lab.MemberDialer.
func (l *modelLeader) State(
	deadline time.Time, connection lab.MemberConnection, o lab.Operation,
) (lab.MemberState, error) {
	c := connection.(*modelConnection)
	w, m := l.model, c.member

	time.Sleep(modelRoundTrip + l.memberOffset(c.announcement))
	l.waitSuspended()
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.isCut(m) {
		w.mutex.Unlock()
		time.Sleep(time.Until(deadline) + l.memberOffset(c.announcement))
		w.mutex.Lock()

		return lab.MemberState{}, errNoResponse
	}

	if !m.running || m.dark || m.announcement.Incarnation != c.run {
		return lab.MemberState{}, errNoResponse
	}

	switch o.Kind {
	case lab.OperationPauseReplication:
		m.paused = !m.leads && o.Term > m.term
	case lab.OperationResumeReplication:
		m.paused = false
		w.replicate(m)
	case lab.OperationStepDown:
		if m.leads && o.Term > m.term {
			w.note("%s steps down with %d commits", m.announcement.Member, len(m.log))
			m.leads, m.steppedDown = false, true
			w.announce(m)
		}
	}

	if l != w.leader {
		w.note("operation %v of a former leader at %s, paused %t", o.Kind, m.announcement.Member, m.paused)
	}

	return lab.MemberState{
		Primary: m.leads, Paused: m.paused, Term: m.term, Received: lab.CommitPosition{Term: m.term, Number: uint64(len(m.log))},
	}, nil
}

// knownPrimary mirrors Controller.primary.
func (l *modelLeader) knownPrimary() (labmembers.Entry, bool) {
	var best labmembers.Entry

	found := false
	o, ordered := l.group.Load().Promotion(modelService)

	for _, e := range l.registry.Entries() {
		a := e.Announcement

		switch {
		case a.Terminated:
		case ordered && o.Confirmed:
			if a.Member == o.Member {
				return e, true
			}
		case a.Primary && (!found || e.RoleSince > best.RoleSince):
			best, found = e, true
		}
	}

	return best, found
}

// formerPrimary mirrors Controller.formerPrimary.
func (l *modelLeader) formerPrimary() (lab.Announcement, string) {
	known := l.group.Load().Primary(modelService)

	for _, e := range l.registry.Entries() {
		a := e.Announcement
		if !a.Terminated && ((known.Member != "" && a.Member == known.Member) || (known.Member == "" && a.Primary)) {
			return a, a.Address
		}
	}

	for _, h := range l.group.Load().Holders()[modelService] {
		if h.Member == known.Member && h.Address == known.Address {
			return lab.Announcement{Database: h.Service, Member: h.Member, Address: h.Address, Region: h.Region}, h.Address
		}
	}

	return lab.Announcement{}, known.Address
}

// orderedUnconfirmed mirrors Controller.orderedUnconfirmed.
func (l *modelLeader) orderedUnconfirmed(a lab.Announcement) bool {
	o, ordered := l.group.Load().Promotion(modelService)

	return ordered && !o.Confirmed && o.Member == a.Member && o.Member != l.group.Load().Primary(modelService).Member
}

// live returns the announcement of the member at each address.
func (l *modelLeader) live() map[string]lab.Announcement {
	out := map[string]lab.Announcement{}

	for _, e := range l.registry.Entries() {
		if a := e.Announcement; !a.Terminated {
			out[a.Address] = a
		}
	}

	return out
}

// replicas mirrors Controller.replicas.
func (l *modelLeader) replicas() []ReplicaState {
	var out []ReplicaState

	former, address := l.formerPrimary()
	live := l.live()

	add := func(a lab.Announcement) {
		if a.Member != former.Member || l.orderedUnconfirmed(a) {
			out = append(out, ReplicaState{Member: a, Former: address != "" && a.Address == address})
		}
	}

	for _, e := range l.registry.Entries() {
		if a := e.Announcement; !a.Terminated {
			add(a)
		}
	}

	for _, h := range l.group.Load().Holders()[modelService] {
		if _, ok := live[h.Address]; !ok {
			add(lab.Announcement{Database: h.Service, Member: h.Member, Address: h.Address, Region: h.Region})
		}
	}

	return out
}

// recordHolders mirrors Controller.recordHolders. The entry is in the log 100 ms to 1 s later, unless the leader is deposed.
func (l *modelLeader) recordHolders() {
	var c labgroupstate.HoldersChange

	known := l.group.Load().Holders()[modelService]

	live := l.live()

	for _, address := range slices.Sorted(maps.Keys(live)) {
		a := live[address]
		if !slices.ContainsFunc(known, func(h labgroupstate.Holder) bool { return h.Address == a.Address && h.Member == a.Member }) {
			c.Set = append(c.Set, labgroupstate.Holder{
				Service: modelService, Member: a.Member, Address: a.Address, Region: a.Region, Primary: a.Primary,
			})
		}
	}

	if len(c.Set) == 0 || l.recording {
		return
	}

	l.recording = true

	l.after(modelTick+time.Duration(l.starts*277%900)*time.Millisecond, func() {
		l.recording = false

		_, err := l.apply(labgroupstate.Command{Holders: &c})
		l.note("holders recorded: %d, error %v", len(c.Set), err)
	})
}

// endSucceeded mirrors Controller.endSucceeded.
func (l *modelLeader) endSucceeded(a lab.Announcement) {
	if known, ok := l.live()[a.Address]; ok && known.Member == a.Member {
		l.registry.Apply(lab.Announcement{Member: a.Member, Terminated: true}, 0)
	}
}

// lead replaces the primary when that is due, as the leader of the control group does.
func (l *modelLeader) lead() {
	time.Sleep(l.offset(offsetTick))

	for !l.stopped.Load() {
		time.Sleep(modelTick)
		l.waitSuspended()

		if !l.leading() {
			return
		}

		l.locked(l.reconcile)
	}
}

// reconcile mirrors Controller.reconcile.
func (l *modelLeader) reconcile() {
	l.registry.RemoveSilent()
	l.recordHolders()

	if l.replacing {
		return
	}

	o := l.observations()
	if l.clock.Now()-l.since < modelListen && !o.OrderUnconfirmed {
		return
	}

	if o.ReplacementReason() == ReasonNone && !l.recoveryDue() {
		return
	}

	l.replacing = true

	go func() {
		time.Sleep(l.offset(offsetAttempt))
		l.replace(o.ReplacementReason())
		l.locked(func() { l.replacing = false })
	}()
}

// observations mirrors Controller.observations. The proxies and control can't reach a primary that has stopped.
func (l *modelLeader) observations() Observations {
	p, known := l.knownPrimary()
	now, m := l.clock.Now(), l.find(p.Announcement.Member)

	if known {
		l.missingSince = now
	}

	if !known || (m != nil && m.running && !m.dark) {
		l.unreachableSince = now
	}

	o := Observations{
		PrimaryKnown: known, PrimaryLeaving: known && p.Announcement.Draining, PrimaryMissingFor: now - max(l.missingSince, l.since),
	}

	if now-max(l.unreachableSince, l.since) >= modelUnreachable {
		o.FailingProxies, o.ProbesFailedFor = 1, ProbeFailureThreshold
	}

	former, _ := l.formerPrimary()

	for _, a := range l.live() {
		if !a.Draining && (a.Member != former.Member || l.orderedUnconfirmed(a)) {
			o.Successors++
		}
	}

	if p, ok := l.group.Load().Promotion(modelService); ok && !p.Confirmed {
		o.OrderUnconfirmed = true
	}

	return o
}

// recoveryDue mirrors Controller.recoveryDue.
func (l *modelLeader) recoveryDue() bool {
	if l.recoveredAt > 0 && l.clock.Now()-l.recoveredAt < modelRecovery {
		return false
	}

	p, known := l.knownPrimary()
	stepped := known && !p.Announcement.Primary && l.clock.Now()-p.RoleSince > modelRoleLost

	return known && (stepped || l.group.Load().AttemptOpen(modelService))
}

// replace mirrors Controller.replace. An attempt goes on after its leader was deposed.
func (l *modelLeader) replace(v Reason) {
	ctx, cancel := context.WithTimeout(context.Background(), modelAttempt)
	defer cancel()

	s := l.newReplacement(v)
	defer func() { l.locked(func() { l.replaced, l.pending, l.withdrawn = true, s.OrderPending, false }) }()

	if v == ReasonNone {
		err := s.Recover(ctx)
		l.locked(func() {
			l.note("recovered, error %v", err)
			l.recoveredAt = l.clock.Now()
		})

		return
	}

	l.locked(func() { l.note("replacement: %s", v) })

	if _, err := s.Run(ctx); err != nil {
		l.locked(func() { l.note("replacement failed: %v", err) })
		time.Sleep(modelRetryDelay)
	}
}

func (l *modelLeader) newReplacement(v Reason) *Replacement {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	o, ordered := l.group.Load().Promotion(modelService)
	unconfirmed := ordered && !o.Confirmed
	former, address := l.formerPrimary()
	p, _ := l.knownPrimary()

	s := &Replacement{
		Service: modelService, PreferredRegion: former.Region, FormerPrimary: former,
		PrimaryServing: v == ReasonLeaving, PrimaryCertain: !unconfirmed || o.Address == address, Replicas: l.replicas(),
		PrimaryAnnounced: v == ReasonOrderUnconfirmed && p.Announcement.Primary && !p.Announcement.Draining &&
			l.clock.Now()-p.LastHeard < modelAnnouncedMax,
		Dialer: l, PromotionClient: l, Orders: &modelOrders{l, o.Token}, Permissions: l, Logs: l.ledger, Clock: l.clock, Log: zerolog.New(traceWriter{l.model}),
		CurrentReplicas: l.replicas, Leading: l.leading, Succeeded: l.endSucceeded,
		OrderPending: unconfirmed && (l.pending || !l.replaced),
	}

	if unconfirmed && former.Member != "" && former.Member != o.Member {
		s.Replicas = append(s.Replicas, ReplicaState{Member: former, Former: true})
	}

	if ordered {
		l.ledger.RecordOrder(modelService, o.Member, o.Bound)

		if s.OrderPending {
			s.Ordered = o.Member
		}
	}

	return s
}
