package labqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labadmission/internal/labqueue"
)

const (
	ms           = time.Millisecond
	noQueueLimit = 1 << 20
)

func request(organisation string, class lab.AdmissionClass, deadline time.Duration) lab.AdmissionRequest {
	return lab.AdmissionRequest{
		Organisation: organisation, Class: class, Weight: 1, QueueLimit: noQueueLimit, Deadline: deadline,
	}
}

// Guards against granting more slots than the member has, against idle slots while requests wait, and against requests
// that end more than once or never.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := labqueue.New()
		now, slots, offered, settled := time.Duration(0), 0, 0, 0

		var tickets []*labqueue.Ticket

		check := func(running int) {
			for _, u := range q.Settled() {
				assert.Assert(t, u.State() == labqueue.Granted || u.State() == labqueue.Expired)
				settled++
			}

			assert.Assert(t, q.Running() <= max(slots, running), "granted beyond the slots")
			assert.Assert(t, q.Waiting() == 0 || q.Running() >= slots, "idle slot while requests wait")

			states := map[labqueue.State]int{}
			for _, u := range tickets {
				states[u.State()]++
			}

			assert.Equal(t, states[labqueue.Granted], q.Running())
			assert.Equal(t, states[labqueue.Waiting], q.Waiting())
		}

		drawTicket := func() *labqueue.Ticket { return rapid.SampledFrom(tickets).Draw(t, "ticket") }
		actions := map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := lab.AdmissionRequest{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Class:        rapid.SampledFrom([]lab.AdmissionClass{lab.ClassInteractive, lab.ClassWrite, lab.ClassDeferrable}).Draw(t, "class"),
					Weight:       rapid.Int64Range(0, 5).Draw(t, "weight"),
					QueueLimit:   rapid.Int64Range(0, 4).Draw(t, "limit"),
					Deadline:     now + time.Duration(rapid.IntRange(-1, 20).Draw(t, "deadline"))*ms,
				}
				running := q.Running()
				tickets = append(tickets, q.Offer(now, r))
				offered++
				check(running)
			},
			"release": func(t *rapid.T) {
				if offered > 0 {
					u, running := drawTicket(), q.Running()
					granted := u.State() == labqueue.Granted
					assert.Equal(t, q.Release(now, u), granted)
					check(running)
				}
			},
			"cancel": func(t *rapid.T) {
				if offered > 0 {
					running := q.Running()
					q.Cancel(now, drawTicket())
					check(running)
				}
			},
			"resize": func(t *rapid.T) {
				running := q.Running()
				slots = rapid.IntRange(0, 3).Draw(t, "slots")
				q.Resize(now, slots)
				check(running)
			},
			"advance": func(t *rapid.T) {
				running := q.Running()
				now += time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * ms
				q.Advance(now)
				check(running)
			},
		}
		t.Repeat(actions)

		// With a slot, and after all deadlines have passed, no request waits any longer.
		slots = 1
		q.Resize(now, slots)
		now += 30 * ms
		q.Advance(now)
		assert.Equal(t, q.Waiting(), 0)
	})
}

// simulation serves the requests of a queue with random service times on a simulated clock.
type simulation struct {
	queue   *labqueue.Queue
	random  *rand.Rand
	service time.Duration // mean service time
	now     time.Duration
	running map[*labqueue.Ticket]time.Duration // time at which the service of a granted ticket ends
	granted map[string]int                     // number of grants by label
	ended   map[labqueue.State]int             // number of tickets by the state in which they stopped waiting
	labels  map[*labqueue.Ticket]string        // organisation and class of a ticket
	order   []string                           // labels of the granted tickets in order of their grants
}

func newSimulation(slots int, service time.Duration) *simulation {
	s := &simulation{
		queue: labqueue.New(), random: rand.New(rand.NewPCG(1, 2)), service: service,
		running: map[*labqueue.Ticket]time.Duration{}, granted: map[string]int{},
		ended: map[labqueue.State]int{}, labels: map[*labqueue.Ticket]string{},
	}
	s.queue.Resize(0, slots)

	return s
}

func (s *simulation) offer(r lab.AdmissionRequest) *labqueue.Ticket {
	t := s.queue.Offer(s.now, r)
	s.labels[t] = fmt.Sprintf("%s %s", r.Organisation, r.Class)
	s.collect()

	if t.State() != labqueue.Waiting {
		s.settle(t)
	}

	return t
}

func (s *simulation) collect() {
	for _, t := range s.queue.Settled() {
		s.settle(t)
	}
}

func (s *simulation) settle(t *labqueue.Ticket) {
	s.ended[t.State()]++

	if t.State() != labqueue.Granted {
		return
	}

	s.granted[s.labels[t]]++
	s.order = append(s.order, s.labels[t])
	s.running[t] = s.now + time.Duration(s.random.ExpFloat64()*float64(s.service))
}

// serveUntil serves requests up to the time end.
func (s *simulation) serveUntil(end time.Duration) {
	for {
		var first *labqueue.Ticket
		for t, at := range s.running {
			if first == nil || at < s.running[first] {
				first = t
			}
		}

		if first == nil || s.running[first] > end {
			s.now = end
			s.queue.Advance(end)
			s.collect()

			return
		}

		s.now = s.running[first]
		delete(s.running, first)
		s.queue.Release(s.now, first)
		s.collect()
	}
}

// Guards against a loss of throughput under overload, caused by granting requests too late or leaving slots idle.
func TestGoodputAtTripleLoad(t *testing.T) {
	const (
		slots   = 3
		service = 2 * ms
		length  = 20 * time.Second
		timeout = 50 * ms
	)

	s := newSimulation(slots, service)
	capacity := float64(length) / float64(service) * slots
	gap := float64(service) / slots / 3

	for at := time.Duration(0); at < length; at += time.Duration(s.random.ExpFloat64() * gap) {
		s.serveUntil(at)
		s.offer(request("a", lab.ClassInteractive, at+timeout))
	}

	goodput := float64(s.ended[labqueue.Granted]) / capacity
	rejected, expired := s.ended[labqueue.Rejected], s.ended[labqueue.Expired]
	t.Logf("goodput=%.3f granted=%d refused=%d expired=%d", goodput, s.ended[labqueue.Granted], rejected, expired)
	assert.Assert(t, goodput >= 0.95)
	assert.Assert(t, expired*10 <= rejected, "requests expire in the queue instead of being rejected at once")
}

// keepBacklog keeps 20 requests of each kind waiting until the queue has made the given number of grants.
func keepBacklog(s *simulation, grants int, kinds ...lab.AdmissionRequest) {
	const depth = 20

	for _, k := range kinds {
		for range depth {
			s.offer(k)
		}
	}

	for n := 0; n < grants; n++ {
		before := len(s.order)
		for len(s.order) == before {
			s.serveUntil(s.now + ms)
		}

		for _, label := range s.order[before:] {
			for _, k := range kinds {
				if label == fmt.Sprintf("%s %s", k.Organisation, k.Class) {
					s.offer(k)
				}
			}
		}
	}
}

// Guards against interactive requests and writes that starve the deferrable class.
func TestDeferrableShare(t *testing.T) {
	const window = 100

	s := newSimulation(2, ms)
	keepBacklog(s, 2000, request("a", lab.ClassInteractive, time.Hour), request("a", lab.ClassWrite, time.Hour),
		request("a", lab.ClassDeferrable, time.Hour))

	// The first 60 grants are skipped, because they began before requests of all kinds were waiting.
	for from := 60; from+window <= len(s.order); from++ {
		n := 0
		for _, label := range s.order[from : from+window] {
			if label == "a may_wait" {
				n++
			}
		}

		assert.Assert(t, n >= window/10, "%d of %d grants from grant %d on", n, window, from)
	}
}

// Guards against an organisation that takes the capacity of another one.
func TestOrganisationShare(t *testing.T) {
	t.Run("flood", func(t *testing.T) {
		s := newSimulation(2, 2*ms)

		for at := time.Duration(0); at < 10*time.Second; at += ms {
			s.serveUntil(at)

			for range 5 {
				r := request("flood", lab.ClassInteractive, at+100*ms)
				r.QueueLimit = 200
				s.offer(r)
			}

			if at%(4*ms) == 0 {
				s.offer(request("modest", lab.ClassInteractive, at+100*ms))
			}
		}

		// The modest organisation requests a quarter of the capacity, which is less than its share of one half.
		assert.Assert(t, s.granted["modest prompt"] >= 2490, "granted %d of 2500", s.granted["modest prompt"])
	})
	t.Run("weight", func(t *testing.T) {
		s := newSimulation(2, ms)
		heavy := request("heavy", lab.ClassWrite, time.Hour)
		heavy.Weight = 3
		keepBacklog(s, 2000, request("light", lab.ClassWrite, time.Hour), heavy)

		ratio := float64(s.granted["heavy write"]) / float64(s.granted["light write"])
		assert.Assert(t, ratio > 2.8 && ratio < 3.2, "ratio %.2f", ratio)
	})
	t.Run("queue limit", func(t *testing.T) {
		s := newSimulation(1, ms)
		r := request("flood", lab.ClassInteractive, time.Hour)
		r.QueueLimit = 3

		for range 10 {
			s.offer(r)
		}

		assert.Equal(t, s.queue.Waiting(), 3)
		assert.Equal(t, s.ended[labqueue.Rejected], 6)
		assert.Equal(t, s.offer(request("modest", lab.ClassInteractive, time.Hour)).State(), labqueue.Waiting)
	})
}

// Guards against granting requests in the wrong order of deadlines, and rejecting or expiring the wrong requests.
func TestDeadlines(t *testing.T) {
	// busy returns a queue whose only slot is in use and whose mean service time is 10 ms.
	busy := func() *labqueue.Queue {
		q := labqueue.New()
		q.Resize(0, 1)

		first := q.Offer(0, request("a", lab.ClassInteractive, ms))
		q.Release(10*ms, first)
		q.Offer(10*ms, request("a", lab.ClassInteractive, 20*ms))

		return q
	}

	t.Run("earliest first", func(t *testing.T) {
		q := busy()
		late := q.Offer(10*ms, request("a", lab.ClassInteractive, 80*ms))
		early := q.Offer(10*ms, request("a", lab.ClassInteractive, 40*ms))
		q.Resize(10*ms, 2)
		assert.Equal(t, early.State(), labqueue.Granted)
		assert.Equal(t, late.State(), labqueue.Waiting)
	})
	t.Run("rejected at once", func(t *testing.T) {
		q := busy()
		assert.Equal(t, q.Offer(10*ms, request("a", lab.ClassInteractive, 25*ms)).State(), labqueue.Waiting)
		assert.Equal(t, q.Offer(10*ms, request("a", lab.ClassInteractive, 25*ms)).State(), labqueue.Rejected)
		assert.Equal(t, q.Offer(10*ms, request("a", lab.ClassInteractive, 35*ms)).State(), labqueue.Waiting)
	})
	t.Run("own later deadlines do not count", func(t *testing.T) {
		q := busy()
		q.Offer(10*ms, request("a", lab.ClassInteractive, 200*ms))
		q.Offer(10*ms, request("a", lab.ClassInteractive, 200*ms))
		assert.Equal(t, q.Offer(10*ms, request("a", lab.ClassInteractive, 25*ms)).State(), labqueue.Waiting)
	})
	t.Run("passed before the offer", func(t *testing.T) {
		assert.Equal(t, busy().Offer(10*ms, request("a", lab.ClassInteractive, 9*ms)).State(), labqueue.Expired)
	})
	t.Run("passed in the queue", func(t *testing.T) {
		q := busy()
		u := q.Offer(10*ms, request("a", lab.ClassInteractive, 30*ms))
		q.Resize(31*ms, 2)
		assert.Equal(t, u.State(), labqueue.Expired)
	})
	t.Run("no slots", func(t *testing.T) {
		q := busy()
		q.Resize(10*ms, 0)

		u := q.Offer(10*ms, request("a", lab.ClassInteractive, 12*ms))
		assert.Equal(t, u.State(), labqueue.Waiting)
		q.Advance(13 * ms)
		assert.Equal(t, u.State(), labqueue.Expired)
	})
	t.Run("one stuck statement", func(t *testing.T) {
		q := labqueue.New()
		q.Resize(0, 1)
		q.Release(ms, q.Offer(0, request("a", lab.ClassInteractive, ms)))
		q.Release(time.Hour, q.Offer(ms, request("a", lab.ClassInteractive, ms)))
		q.Offer(time.Hour, request("a", lab.ClassInteractive, time.Hour))
		assert.Equal(t, q.Offer(time.Hour, request("a", lab.ClassInteractive, time.Hour+10*ms)).State(), labqueue.Waiting)
	})
}

// Guards against memory use that grows with every organisation that has ever sent a request.
func TestIdleOrganisations(t *testing.T) {
	q := labqueue.New()
	q.Resize(0, 1)

	for i := range 10_000 {
		for _, name := range []string{"busy", fmt.Sprint(i)} {
			q.Release(0, q.Offer(0, request(name, lab.ClassInteractive, time.Hour)))
		}
	}

	assert.Assert(t, q.Organisations() < 200, "%d stored", q.Organisations())
}
