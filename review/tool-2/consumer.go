package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a consumer got for an operation.
type answer struct {
	id, text string
	sent     time.Time
	got      time.Time
	served   bool
	detail   string
}

// consumers send operations to the ready nodes, each on a session of its own.
type consumers struct {
	lab   *lab
	nodes []*node
	mutex sync.Mutex
	all   []answer
	ids   atomic.Int64
	stop  chan struct{}
	wait  sync.WaitGroup
}

func newConsumers(l *lab, nodes []*node) *consumers {
	return &consumers{lab: l, nodes: nodes, stop: make(chan struct{})}
}

// run sends an operation to a database every interval until the consumers are stopped.
func (c *consumers) run(database, text string, interval time.Duration) {
	c.wait.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(interval):
			}

			c.wait.Go(func() { c.operate(database, text, 2500*time.Millisecond) })
		}
	})
}

func (c *consumers) end() {
	close(c.stop)
	c.wait.Wait()
}

// ready returns the nodes that the infrastructure uses: those that are ready, or all if fewer than half are.
func (c *consumers) ready() []*node {
	var out []*node

	for _, n := range c.nodes {
		s, _ := call("GET", fmt.Sprintf("http://%s:%d/-/readyz", n.ip, c.lab.readinessPort), "")
		if s == 200 {
			out = append(out, n)
		}
	}

	if 2*len(out) < len(c.nodes) {
		return c.nodes
	}

	return out
}

// consumerID returns the id of the n-th statement of the consumers.
func consumerID(n int64) string { return fmt.Sprintf("%016x", 0x5c00000000000000+n) }

// operate sends an operation, and again at another node if it has not run, as long as its time limit allows.
func (c *consumers) operate(database, text string, limit time.Duration) answer {
	a := answer{text: text, sent: time.Now()}
	end := a.sent.Add(limit)

	for try := 0; try < 3 && time.Now().Before(end); try++ {
		all := c.ready()
		n := all[rand.IntN(len(all))]
		a.id = consumerID(c.ids.Add(1))
		a.served, a.detail = c.attempt(n, database, a.id, text, end)

		if a.served || !promised(a.detail) {
			break
		}

		time.Sleep(50 * time.Millisecond)
	}

	a.got = time.Now()
	c.lab.note("consumer: %s %s on %s: served %t, %s, after %d ms", a.id, text, database, a.served, a.detail,
		a.got.Sub(a.sent).Milliseconds())

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.all = append(c.all, a)

	return a
}

// promised reports whether the answer promises that nothing is kept, or the operation never left.
func promised(detail string) bool {
	for _, w := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "not sent"} {
		if strings.Contains(detail, w) {
			return true
		}
	}

	return false
}

func (c *consumers) attempt(n *node, database, id, text string, end time.Time) (bool, string) {
	s, err := net.DialTimeout("tcp", n.frontend(), time.Until(end))
	if err != nil {
		return false, "not sent: " + err.Error()
	}
	defer s.Close()

	_ = s.SetDeadline(end)
	_, _ = fmt.Fprintf(s, "STARTUP %s u1\r\n", database)
	r := bufio.NewReaderSize(s, 1<<16)

	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return false, fmt.Sprintf("not sent: startup: %s %v", strings.TrimSpace(line), err)
	}

	_, _ = fmt.Fprintf(s, "QUERY %s %s\r\n", id, text)

	result := ""

	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false, "no answer at " + n.name + ": " + err.Error()
		}

		line = strings.TrimSpace(line)

		switch word, _, _ := strings.Cut(line, " "); word {
		case "COMPLETE", "FAULT":
			result = line
		case "READY":
			return strings.HasPrefix(result, "COMPLETE "), result + " at " + n.name
		}
	}
}

// share returns the share of the operations sent in a span that were served, and their number.
func (c *consumers) share(from, to time.Time) (float64, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	served, all := 0, 0

	for _, a := range c.all {
		if a.sent.Before(from) || a.sent.After(to) {
			continue
		}

		all++

		if a.served {
			served++
		}
	}

	if all == 0 {
		return 0, 0
	}

	return float64(served) / float64(all), all
}
