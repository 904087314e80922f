package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	writerCount = 6
	// settleTime is longer than contactMs and than a new leader waits before it replaces a primary.
	settleTime = 8 * time.Second
)

// write is a write or transaction that was answered with success.
type write struct {
	id   string // id of the single write or of the commit
	item string
	data string
}

// load is the traffic of several consumers.
type load struct {
	x       *run
	mutex   sync.Mutex
	success []write
	stop    chan struct{}
	wait    sync.WaitGroup
}

func startLoad(x *run) *load {
	l := &load{x: x, stop: make(chan struct{})}

	for i := range writerCount {
		l.wait.Go(func() { l.consume(i) })
	}

	return l
}

func (l *load) end() {
	close(l.stop)
	l.wait.Wait()
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// consume runs operations one after the other. Three of ten are transactions, each with a read and a write; of the
// others, half are writes.
func (l *load) consume(number int) {
	var c *client

	defer func() {
		if c != nil {
			c.close()
		}
	}()

	for !l.stopped() {
		if c == nil {
			var err error

			name := fmt.Sprintf("u%d", number)
			if c, err = connect(l.x.rec, l.x.deployment.address(number%len(zones), clientPort), "flags", name); err != nil {
				l.x.rec.add("u%d: %v", number, err)

				c = nil

				time.Sleep(200 * time.Millisecond)

				continue
			}
		}

		if !l.operate(c) {
			c.close()
			c = nil
		}

		time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
	}
}

// operate runs one operation and reports whether the session can be used again.
func (l *load) operate(c *client) bool {
	w := write{id: newID()}
	w.item, w.data = "k"+w.id, "d"+w.id

	if rand.IntN(10) >= 3 {
		text := "STORE " + w.item + " " + w.data
		if rand.IntN(2) == 0 {
			text = "FETCH " + w.item
			w.item = ""
		}

		return l.finish(c.query(w.id, text), w)
	}

	for _, text := range []string{"BEGIN", "FETCH " + w.item, "STORE " + w.item + " " + w.data} {
		if a := c.query(newID(), text); a.broken || a.code != "" {
			return false
		}
	}

	return l.finish(c.query(w.id, "COMMIT"), w)
}

func (l *load) finish(a answer, w write) bool {
	if a.code == "" && !a.broken && a.proof != "" && w.item != "" {
		l.mutex.Lock()
		l.success = append(l.success, w)
		l.mutex.Unlock()
	}

	return !a.broken && a.state == "I"
}

func (l *load) succeeded() map[string]write {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	out := map[string]write{}
	for _, w := range l.success {
		out[w.id] = w
	}

	return out
}
