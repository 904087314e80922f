package labfailover

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	// modelLateness bounds how late the platform carries out an order.
	modelLateness = 12 * time.Second
	// modelPromotionMax is how long a promotion takes at most.
	modelPromotionMax = time.Second
)

// orderFate is what the platform does with an order.
type orderFate struct {
	late     time.Duration // until the order is carried out
	answered bool          // with the result, if the sender still waits then
	refused  bool          // it isn't carried out
	effect   time.Duration // until the ordered member leads
	// unfenced is true if a later order that is carried out before the effect doesn't prevent it.
	unfenced bool
}

// orderTrouble is a time in which each order has its own fate.
type orderTrouble struct {
	seed, orders uint64
	until        time.Duration
	silent       bool // no order is answered
}

// playOrders lets each order of twice the pause have its own fate.
func (w *model) playOrders(m *modelMember, pause time.Duration, silent bool) {
	w.note("orders have their own fates for %s, silent %t", 2*pause, silent)
	w.trouble = orderTrouble{
		seed:  uint64(pause/modelTick)*7 + uint64(len(m.announcement.Address+m.announcement.Member)) + uint64(m.announcement.Address[7]),
		until: w.clock.Now() + 2*pause, silent: silent,
	}
	w.lateUntil = max(w.lateUntil, w.trouble.until+modelLateness)
	w.writeSteadily()
}

// writeSteadily lets clients commit until no order is late any more.
func (w *model) writeSteadily() {
	if w.writing {
		return
	}

	w.writing = true

	var next func()

	next = func() {
		if w.writing = w.clock.Now() < w.lateUntil && !w.stopped.Load(); w.writing {
			w.writeThroughProxy()
			w.after(modelTick, next)
		}
	}

	next()
}

// rollBack keeps the replicas of a new primary busy, each for a time of its own.
func (w *model) rollBack(token uint64) {
	if w.clock.Now() >= w.lateUntil {
		return
	}

	for i, m := range w.members {
		m.behind++

		w.after(time.Duration(mix(token<<8+uint64(i))%8)*modelTick, func() {
			m.behind--
			w.replicate(m)
		})
	}
}

// fate returns the fate of the next order.
func (w *model) fate() orderFate {
	switch t := &w.trouble; {
	case w.clock.Now() < t.until:
		t.orders++
		h := mix(t.seed<<16 + t.orders)
		f := orderFate{
			answered: !t.silent && h&1 == 0, refused: h>>1&7 == 0, unfenced: !w.fenced,
			effect: modelPromotion + time.Duration(h>>16%41)*(modelPromotionMax-modelPromotion)/40,
		}

		if h>>4&3 != 0 {
			f.late = time.Duration(h>>32%121) * modelLateness / 120
		}

		return f
	case w.late > 0:
		return orderFate{late: w.late, effect: modelPromotion}
	}

	return orderFate{answered: true, effect: modelPromotion}
}

// mix is the finalizer of splitmix64.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb

	return h ^ h>>31
}

// Promote implements lab.PromotionClient.
func (l *modelLeader) Promote(ctx context.Context, _, id string, token uint64) error {
	w := l.model

	time.Sleep(modelRoundTrip + l.offset(offsetOrder))
	l.waitSuspended()

	var f orderFate

	done := make(chan error, 1)

	w.locked(func() {
		f = w.fate()
		w.note("order for %s with token %d: %+v", id, token, f)

		if f.late == 0 {
			done <- w.carryOut(id, token, f)

			return
		}

		w.after(f.late, func() { done <- w.carryOut(id, token, f) })
	})

	select {
	case err := <-answer(f, done):
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answer returns the channel for the sender of an order, which is nil if there is no answer.
func answer(f orderFate, done chan error) chan error {
	if f.answered {
		return done
	}

	return nil
}

// carryOut checks and carries out an order.
func (w *model) carryOut(id string, token uint64, f orderFate) error {
	m := w.find(id)
	if f.refused || token < w.token || m == nil || !m.running || m.dark {
		w.note("order with token %d is refused", token)

		return lab.NotRunError(lab.ReasonRejected, errors.New("conflict"))
	}

	w.token = token
	if m.leads {
		return nil
	}

	w.effects++
	w.after(f.effect, func() {
		w.effects--

		if f.unfenced || token >= w.token {
			w.promoted(m, token)
		}
	})

	return nil
}
