package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const emptyDocument = `{"version":%d,"routes":[{"name":"r-1","host":"booking1","pathPrefix":"/","kind":"primary","timeoutMs":800,` +
	`"targetLatencyMs":400,"priority":1,"service":"ledger1","maxAttempts":2}],"services":[{"name":"ledger1",` +
	`"healthPath":"/healthz","maxConns":34,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"txIdleMs":3000}}`

// repair replaces a machine of the core by a new one, and lets another one lose its disk once the new one has had catchUpS.
func repair(l *lab, trouble bool) (int, error) {
	const catchUp = 4 * time.Second

	seeds := []string{}
	for h := 1; h <= 3; h++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", l.ip(h), l.controlPort))
	}

	a := l.addNode(1, "client_facing-rajkot-1", "rajkot", "gujarat-west", true, seeds, true)
	b := l.addNode(2, "client_facing-vadodara-1", "vadodara", "gujarat-east", true, seeds, true)
	c := l.addNode(3, "client_facing-jamnagar-1", "jamnagar", "gujarat-west", true, seeds, true)
	d := l.addNode(4, "client_facing-jamnagar-2", "jamnagar", "gujarat-west", true, seeds, false)

	for _, n := range []*node{a, b, c} {
		if err := n.start("control"); err != nil {
			return 2, err
		}
	}

	if !l.put(fmt.Sprintf(emptyDocument, 3), 15*time.Second, a, b, c) {
		return 2, fmt.Errorf("the first configuration was not acknowledged")
	}

	// From now on the three machines have had their time.
	time.Sleep(catchUp + 2*time.Second)

	if !l.put(fmt.Sprintf(emptyDocument, 7), 6*time.Second, a, b, c) {
		return 2, fmt.Errorf("the second configuration was not acknowledged")
	}

	// The new machine is added first, then the old one is stopped and removed.
	successorStarted := time.Now()

	if err := d.start("control"); err != nil {
		return 2, err
	}

	time.Sleep(time.Second)

	rest := []*node{a, b, c, d}

	if trouble {
		c.stop("control", syscall.SIGTERM, 6*time.Second)
		l.note("%s is removed for good", c.name)

		rest = []*node{a, b, d}
	}

	time.Sleep(time.Until(successorStarted.Add(catchUp + 500*time.Millisecond)))
	l.note("the new machine has run for %.1f s", time.Since(successorStarted).Seconds())

	if trouble {
		b.stop("control", syscall.SIGKILL, time.Second)
		b.loseDisk()
		time.Sleep(time.Second)

		b.bootstrap = false
		if err := b.start("control"); err != nil {
			return 2, err
		}
	}

	// No further trouble. The operator reads back what was acknowledged, and sends one more change.
	read, changed := false, false

	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && (!read || !changed); {
		for _, n := range rest {
			s, text := call(http.MethodGet, n.controlURL()+"/-/config", "")
			l.note("GET /-/config at %s: %d %.80q", n.name, s, text)

			var v struct{ Version int }

			if s == http.StatusOK && json.Unmarshal([]byte(text), &v) == nil && v.Version >= 7 {
				read = true
			}
		}

		changed = changed || l.put(fmt.Sprintf(emptyDocument, 12), 2*time.Second, rest...)

		time.Sleep(500 * time.Millisecond)
	}

	l.note("configuration 7 can be read: %t; configuration 12 is acknowledged: %t", read, changed)

	if !read || !changed {
		return 1, nil
	}

	return 0, nil
}
