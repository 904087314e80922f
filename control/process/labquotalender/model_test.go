package labquotalender

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labquotabucket"
	"laburnumlock.dev/lab/process/labquotaholder"
)

const (
	modelWait     = 110 * time.Millisecond // time for which a control instance waits for the leader
	leaderZone    = -1                     // zone of the leaders, in messages; it is zone 0
	applyTime     = 4 * time.Second        // time in which proxies apply a configuration
	modelGiveUp   = 250 * time.Millisecond // time for which an operation waits
	modelSpacing  = 10 * time.Millisecond
	modelInterval = 200 * time.Millisecond
	modelReport   = 500 * time.Millisecond // interval at which a proxy that has sent nothing else sends its reports
)

// model runs leaders, control instances and proxies on simulated time.
type model struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	tolerance lab.QuotaTolerance
	policies  map[string]lab.OrganisationPolicy
	changes   map[string][]policyChange
	load      map[string]float64 // operations of an organisation per second, over all proxies
	leaders   []*labquotabucket.Buckets
	instances []*modelInstance
	proxies   []*modelProxy
	// delay returns the duration of a message between two zones, and whether it arrives.
	delay func(from, to int) (time.Duration, bool)

	ran         map[string][]time.Duration // times of the operations that ran
	refused     map[string][]time.Duration
	waited      int // operations that waited for the leader
	proxyCalls  int
	leaderCalls int
}

// policyChange is a policy of an organisation and the time from which it is in force.
type policyChange struct {
	at     time.Duration
	policy lab.OrganisationPolicy
}

type modelInstance struct {
	model   *model
	zone    int
	leader  int // index of the leader that it knows, -1 for none
	holder  *labquotaholder.Holder
	lender  *Lender
	calling bool
	pending []*modelRequest
}

type modelRequest struct {
	request  lab.QuotaRequest
	response lab.QuotaResponse
	needs    []int
	respond  func()
}

type modelProxy struct {
	model    *model
	instance *modelInstance
	holder   *labquotaholder.Holder
	waiting  map[string][]time.Duration // times at which the waiting operations give up
	calledAt time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// tolerated is the tolerance on the platform.
var tolerated = lab.QuotaTolerance{Window: 5 * time.Second, Overrun: 0.1, Headroom: 20}

func newModel(
	seed uint64, tolerance lab.QuotaTolerance, zones, proxies int, policies ...lab.OrganisationPolicy,
) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), policies: map[string]lab.OrganisationPolicy{}, load: map[string]float64{},
		tolerance: tolerance,
		changes:   map[string][]policyChange{},
		ran:       map[string][]time.Duration{}, refused: map[string][]time.Duration{},
	}
	m.delay = func(from, to int) (time.Duration, bool) {
		from, to = max(0, from), max(0, to)

		switch {
		case from == to:
			return 300 * time.Microsecond, true
		case from%2 == to%2:
			return time.Millisecond, true
		default:
			return 12 * time.Millisecond, true
		}
	}

	for _, p := range policies {
		m.configure(p)
		m.load[p.Name] = p.Rate / 1.6
		m.arrive(p.Name)
	}

	m.elect(0)

	for z := range zones {
		i := &modelInstance{model: m, zone: z, holder: &labquotaholder.Holder{
			Instance: lab.InstanceID(rune('A' + z)), Horizon: 1700 * time.Millisecond, Average: 3 * time.Second, Reserve: 1,
			ReserveFor: 30 * time.Second,
		}}
		i.lender = &Lender{Holder: i.holder, FirstNumber: m.random.Uint64()}
		m.instances = append(m.instances, i)
		m.every(modelInterval, i.exchange)
	}

	for n := range proxies {
		p := &modelProxy{model: m, instance: m.instances[n%zones], waiting: map[string][]time.Duration{}, holder: &labquotaholder.Holder{
			Instance: lab.InstanceID(rune('a' + n)), Horizon: 500 * time.Millisecond, Average: time.Second, Minimum: 3,
		}}
		m.proxies = append(m.proxies, p)
		m.every(modelReport, p.callIfQuiet)
	}

	return m
}

// configure activates a policy at the leaders.
func (m *model) configure(p lab.OrganisationPolicy) {
	m.policies[p.Name] = p
	m.changes[p.Name] = append(m.changes[p.Name], policyChange{m.now, p})
}

// elect starts a leader that the instances know only once they are told. A former leader goes on to answer.
func (m *model) elect(overlap time.Duration) int {
	m.leaders = append(m.leaders, &labquotabucket.Buckets{
		Tolerance: m.tolerance, Since: m.now, Overlap: overlap, FirstNumber: m.random.Uint64(),
	})

	return len(m.leaders) - 1
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now + d, run}) }

func (m *model) every(d time.Duration, run func()) {
	var again func()

	again = func() { run(); m.after(d, again) }
	m.after(time.Duration(m.random.Int64N(int64(d))), again)
}

// send runs something at another zone, unless the message is lost.
func (m *model) send(from, to int, run func()) {
	if d, ok := m.delay(from, to); ok {
		m.after(d, run)
	}
}

func (m *model) run(d time.Duration) {
	for end := m.now + d; len(m.events) > 0 && m.events[0].at <= end; {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// arrive schedules the operations of an organisation.
func (m *model) arrive(name string) {
	if m.load[name] <= 0 {
		m.after(100*time.Millisecond, func() { m.arrive(name) })

		return
	}

	m.after(time.Duration(m.random.ExpFloat64()/m.load[name]*float64(time.Second)), func() {
		if m.load[name] > 0 {
			m.proxies[m.random.IntN(len(m.proxies))].operate(name)
		}

		m.arrive(name)
	})
}

func (p *modelProxy) operate(name string) {
	m := p.model

	if len(p.waiting[name]) == 0 && p.use(name) {
		if p.holder.Low(name, m.now) {
			p.call()
		}

		return
	}

	if _, refused := p.holder.Refused(name, m.now); refused {
		m.refused[name] = append(m.refused[name], m.now)

		return
	}

	p.waiting[name] = append(p.waiting[name], m.now+modelGiveUp)
	p.holder.Await(name, 1, m.now)
	p.call()
	m.after(modelGiveUp, func() { p.serve(name) })
}

// use runs an operation if the proxy has a token.
func (p *modelProxy) use(name string) bool {
	m := p.model

	token, n, _ := p.holder.Take(name, 1, 0, m.now)
	if n == 0 {
		return false
	}

	m.ran[name] = append(m.ran[name], m.now)
	m.after(20*time.Millisecond, func() { p.holder.Settle(token, 1, 0, m.now) })

	return true
}

func (p *modelProxy) callIfQuiet() {
	if p.model.now-p.calledAt >= modelReport {
		p.call()
	}
}

func (p *modelProxy) call() {
	m, i := p.model, p.instance

	r, ok := p.holder.Request("i", m.now)
	if !ok {
		return
	}

	m.proxyCalls++

	p.calledAt = m.now
	sentAt, answered := m.now, false

	m.after(time.Second, func() {
		if !answered {
			p.holder.Done(r)
		}
	})
	m.send(i.zone, i.zone, func() {
		i.handle(r, func(a lab.QuotaResponse) {
			m.send(i.zone, i.zone, func() {
				if m.now-sentAt >= time.Second {
					return
				}

				answered = true

				p.holder.Done(r)
				p.holder.Apply("i", r, a, sentAt, m.now)

				for _, t := range r.Items {
					p.serve(t.Organisation)
				}
			})
		})
	})
}

// serve runs the operations that wait, or refuses them.
func (p *modelProxy) serve(name string) {
	m := p.model

	for len(p.waiting[name]) > 0 {
		_, refused := p.holder.Refused(name, m.now)
		if !p.use(name) {
			if !refused && m.now < p.waiting[name][0] {
				return
			}

			m.refused[name] = append(m.refused[name], m.now)
		}

		p.waiting[name] = p.waiting[name][1:]
		p.holder.Await(name, -1, m.now)
	}
}

// handle does what labplatformcontrol does with the request of a proxy.
func (i *modelInstance) handle(r lab.QuotaRequest, respond func(lab.QuotaResponse)) {
	m := i.model
	i.lender.Drop(m.now)
	i.lender.Record(r, m.now)

	q := &modelRequest{request: r, needs: make([]int, len(r.Items))}
	q.respond = func() { respond(q.response) }

	for n, t := range r.Items {
		q.needs[n] = t.Need
	}

	if i.lender.Grant(r, q.needs, &q.response, m.now); slices.Max(q.needs) == 0 {
		i.lender.GrantAdvance(r, &q.response, m.now)
		q.respond()

		return
	}

	m.waited++

	i.await(q, 1)
	i.pending = append(i.pending, q)
	i.exchange()
	m.after(modelWait, func() {
		if n := slices.Index(i.pending, q); n >= 0 {
			i.pending = slices.Delete(i.pending, n, n+1)
			i.await(q, -1)
			q.respond()
		}
	})
}

func (i *modelInstance) await(q *modelRequest, sign int) {
	for n, need := range q.needs {
		i.holder.Await(q.request.Items[n].Organisation, sign*need, i.model.now)
	}
}

// exchange sends a request to the leader.
func (i *modelInstance) exchange() {
	m := i.model
	if i.calling || i.leader < 0 {
		return
	}

	i.lender.Drop(m.now)

	r, ok := i.holder.Request(string(rune('0'+i.leader)), m.now)
	if !ok {
		return
	}

	m.leaderCalls++

	i.calling = true
	sentAt, leader, answered := m.now, i.leader, false

	m.after(700*time.Millisecond, func() {
		if !answered {
			i.holder.Done(r)

			i.calling = false
		}
	})
	m.send(i.zone, leaderZone, func() {
		a := m.leaders[leader].Exchange(r, func(name string) (lab.OrganisationPolicy, bool) {
			p, ok := m.policies[name]

			return p, ok
		}, m.now)

		m.send(leaderZone, i.zone, func() {
			if m.now-sentAt >= 700*time.Millisecond {
				return
			}

			answered = true

			i.holder.Done(r)
			i.holder.Apply(string(rune('0'+leader)), r, a, sentAt, m.now)
			i.serve()
			m.after(modelSpacing, func() {
				i.calling = false

				if len(i.pending) > 0 {
					i.exchange()
				}
			})
		})
	})
}

// serve grants tokens to the proxies whose requests wait.
func (i *modelInstance) serve() {
	pending := i.pending
	i.pending = nil

	for _, q := range pending {
		i.await(q, -1)
		i.lender.Grant(q.request, q.needs, &q.response, i.model.now)

		if slices.Max(q.needs) == 0 {
			q.respond()

			continue
		}

		i.await(q, 1)
		i.pending = append(i.pending, q)
	}
}

// limit returns the number of operations that may run in the window that starts at a time. A policy counts until proxies in
// contact with control must have applied the next one.
func (m *model) limit(name string, start time.Duration) int {
	var out float64

	for n, c := range m.changes[name] {
		end := m.now
		if n+1 < len(m.changes[name]) {
			end = m.changes[name][n+1].at + applyTime
		}

		if c.at < start+m.tolerance.Window && end >= start {
			allowed := c.policy.Rate*m.tolerance.Window.Seconds() + c.policy.Burst + m.tolerance.Tolerated(c.policy)
			out = max(out, allowed, c.policy.Rate*m.tolerance.Window.Seconds()+1)
		}
	}

	return int(out)
}

// assertWindows checks each window.
func (m *model) assertWindows(t assert.TestingT) {
	full := m.fullest()
	assert.Assert(t, full <= 1, "%f of the limit", full)
}

// fullest returns the largest share of a limit that the operations in a window make up.
func (m *model) fullest() float64 {
	var out float64

	for name, ran := range m.ran {
		for first, last := 0, 0; first < len(ran); first++ {
			for last < len(ran) && ran[last] < ran[first]+m.tolerance.Window {
				last++
			}

			out = max(out, float64(last-first)/float64(m.limit(name, ran[first])))
		}
	}

	return out
}
