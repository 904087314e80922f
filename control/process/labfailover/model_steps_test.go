package labfailover

import (
	"fmt"
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// modelStep is one step of a sequence.
type modelStep struct {
	kind, place int // kind is an index of modelStepKinds
	pause       time.Duration
}

// GoString is used by rapid to print a sequence.
func (s modelStep) GoString() string {
	return fmt.Sprintf("%s %d %s", modelStepKinds[s.kind].name, s.place, s.pause)
}

// modelStepKind is a kind of steps. It is left out unless bit is 0 or in the flag -model.kinds.
type modelStepKind struct {
	name string
	bit  uint
	play func(w *model, m *modelMember, pause time.Duration)
}

// modelStepKinds are the kinds of steps. Disruptions end after the step's pause.
var modelStepKinds = []modelStepKind{
	{"write", 0, func(w *model, _ *modelMember, _ time.Duration) { w.writeThroughProxy() }},
	{"write", 0, func(w *model, _ *modelMember, _ time.Duration) { w.writeThroughProxy() }},
	{"write", 0, func(w *model, _ *modelMember, _ time.Duration) { w.writeThroughProxy() }},
	{"write", 0, func(w *model, _ *modelMember, _ time.Duration) { w.writeThroughProxy() }},
	{"deaf", 0, (*model).playDeaf},
	{"crash", 0, func(w *model, m *modelMember, pause time.Duration) { w.playStop(m, pause, false) }},
	{"dark", 0, func(w *model, m *modelMember, pause time.Duration) { w.playStop(m, pause, true) }},
	{"leave", 0, func(w *model, m *modelMember, pause time.Duration) {
		if m.running && !m.dark && !m.announcement.Draining {
			w.leave(m, pause)
		}
	}},
	{"late_orders", 0, func(w *model, _ *modelMember, pause time.Duration) {
		w.note("orders are carried out %s late", pause)
		w.late = pause
		w.after(2*time.Second, func() { w.late = 0 })
	}},
	{"new_leader", 0, func(w *model, _ *modelMember, _ time.Duration) {
		w.note("new leader")
		w.leader.deposed.Store(true)
		w.replaceLeader(false)
	}},
	{"unheard", kindUnheard, func(w *model, m *modelMember, pause time.Duration) {
		w.note("%s is unheard for %s", m.announcement.Member, pause)
		w.disturb(w.unheard, m, pause)
	}},
	{"cut_off", kindCut, func(w *model, m *modelMember, pause time.Duration) {
		w.note("%s is cut off from control for %s", m.announcement.Member, pause)
		w.disturb(w.cut, m, pause)
	}},
	{"series", kindSeries, (*model).playSeries},
	{"empty_leader", kindEmptyLeader, func(w *model, _ *modelMember, _ time.Duration) {
		w.note("new leader that knows no members")
		w.leader.deposed.Store(true)
		w.replaceLeader(true)
	}},
	{"suspended_leader", kindSuspended, func(w *model, _ *modelMember, pause time.Duration) { w.suspend(pause) }},
	{"clock_back", kindClock, func(w *model, m *modelMember, _ time.Duration) {
		w.note("the clock of %s is set back", m.announcement.Member)
		m.clockSetBack += modelClockStep
	}},
	{"lost", kindLost, (*model).playLost},
	{"own_fates", kindOrders, func(w *model, m *modelMember, pause time.Duration) { w.playOrders(m, pause, false) }},
	{"silent_platform", kindOrders, func(w *model, m *modelMember, pause time.Duration) { w.playOrders(m, pause, true) }},
	{"proxy_cut", kindProxyCut, func(w *model, _ *modelMember, pause time.Duration) {
		w.note("a proxy is cut off for %s", pause)

		p := w.clients[1]
		p.cut++
		w.after(pause, func() { p.cut-- })
	}},
}

// kindNamed returns the index of a kind, or -1.
func kindNamed(name string) int {
	return slices.IndexFunc(modelStepKinds, func(k modelStepKind) bool { return k.name == name })
}

func enabledKinds(bits uint) (out []int) {
	for i, k := range modelStepKinds {
		if k.bit == 0 || k.bit&bits != 0 {
			out = append(out, i)
		}
	}

	return out
}

// step plays one step.
func (w *model) step(s modelStep) {
	var places []*modelMember

	for _, m := range w.members {
		if !m.gone {
			places = append(places, m)
		}
	}

	if len(places) > 0 {
		modelStepKinds[s.kind].play(w, places[s.place%len(places)], s.pause)
	}
}

// disturb adds a disturbance at the address of a member for a time.
func (w *model) disturb(disturbances map[string]int, m *modelMember, d time.Duration) {
	address := m.announcement.Address
	disturbances[address]++

	w.after(d, func() { disturbances[address]-- })
}

func (w *model) playDeaf(m *modelMember, pause time.Duration) {
	w.note("%s is deaf for %s", m.announcement.Member, pause)
	m.deaf = true
	w.after(pause, func() { m.deaf = false; w.replicate(m) })
}

func (w *model) playStop(m *modelMember, pause time.Duration, dark bool) {
	if m.running && !m.dark {
		w.stop(m, dark)
		w.after(pause, func() { w.restart(m) })
	}
}

// playSeries lets a member crash several times for 100 ms. It runs for a part of the pause in between.
func (w *model) playSeries(m *modelMember, pause time.Duration) {
	crashes := 2 + int(pause/modelTick)%4

	var crash func()

	crash = func() {
		if crashes--; crashes < 0 {
			return
		}

		w.playStop(m, modelTick, false)
		w.after(modelTick+pause/8, crash)
	}

	crash()
}

func (w *model) playLost(m *modelMember, pause time.Duration) {
	if w.anyLost || !m.running || m.dark || m.announcement.Draining {
		return
	}

	w.note("%s is lost for good", m.announcement.Member)
	w.anyLost, m.lost = true, true
	w.stop(m, int(pause/modelTick)%2 == 1)
}

func (w *model) stop(m *modelMember, dark bool) {
	w.note("%s stops, dark %t", m.announcement.Member, dark)
	m.dark, m.running = dark, dark
}

func (w *model) restart(m *modelMember) {
	if m.gone || m.lost {
		return
	}

	if w.effects > 0 && !*modelRestarts {
		w.after(modelTick, func() { w.restart(m) })

		return
	}

	w.starts++
	m.running, m.dark, m.paused, m.disconnected = true, false, false, len(m.log)
	m.leads = m.leads || (m.steppedDown && *modelKinds&kindLeadsAgain != 0)
	m.announcement.Incarnation, m.announcement.Sequence = modelBorn+w.starts-m.clockSetBack, 0
	w.note("%s is back with %d commits", m.announcement.Member, len(m.log))
	w.announce(m)
	w.replicate(m)
}

// leave lets a member leave as planned. A new member with its log starts at its address after the pause.
func (w *model) leave(m *modelMember, pause time.Duration) {
	w.note("%s leaves", m.announcement.Member)
	m.announcement.Draining = true
	w.announce(m)

	w.after(2*time.Second, func() {
		w.note("%s ends with %d commits", m.announcement.Member, len(m.log))
		m.running, m.dark, m.gone, m.leads = false, false, true, false

		if w.heard(m) {
			w.leader.registry.Apply(lab.Announcement{Member: m.announcement.Member, Terminated: true}, 0)
		}

		w.after(pause, func() {
			n := w.newMember(0, m.announcement.Member+"r", append([]string(nil), m.log...))
			n.announcement.Address, n.term = m.announcement.Address, m.term
			n.clockSetBack = m.clockSetBack
			n.announcement.Incarnation -= n.clockSetBack
			w.members = append(w.members, n)
			w.note("%s starts with %d commits", n.announcement.Member, len(n.log))
			w.announce(n)
			w.replicate(n)
		})
	})
}
