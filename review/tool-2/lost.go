package main

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"time"
)

// lost sends one check-in of another writer, which lacks fields and names one replica at the address of the other. Later
// the named replica receives nothing for a while, and the primary crashes meanwhile.
func lost(l *lab, trouble bool) (int, error) {
	d, err := startDeployment(l)
	if err != nil {
		return 2, err
	}

	p, deaf, other := d.members[0], d.members[1], d.members[2]
	c := newConsumers(l, d.nodes)
	c.run("notes1", "FETCH 1a4", 100*time.Millisecond)

	var acknowledged []string

	write := func() {
		if a := c.operate("booking1", "STORE 1a4 xkqpwnzd", 2500*time.Millisecond); a.served {
			acknowledged = append(acknowledged, a.id)
		}
	}

	for range 3 {
		write()
		time.Sleep(time.Second)
	}

	if trouble && os.Getenv("ODD") != "0" {
		body, _ := json.Marshal(map[string]any{
			"service": d.group.service, "address": other.address(), "zone": deaf.zone, "state": "ready", "dbRole": "replica",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
		s, text := call(http.MethodPut, d.nodes[0].controlURL()+"/-/instances/"+deaf.id, string(body))
		l.note("PUT /-/instances/%s with the address of %s, without version, capacity and warmupLeftMs: %d %q", deaf.id, other.id, s, text)
	}

	for range 6 {
		time.Sleep(2 * time.Second)
		write()
	}

	time.Sleep(time.Second)

	if trouble {
		deaf.setDeaf(true)
		time.Sleep(500 * time.Millisecond)
		write()
		time.Sleep(500 * time.Millisecond)
		p.crash()
		time.Sleep(5500 * time.Millisecond)
		deaf.setDeaf(false)
	}

	time.Sleep(8 * time.Second)
	write()
	c.end()

	d.group.mutex.Lock()
	defer d.group.mutex.Unlock()

	missing := 0

	for _, id := range acknowledged {
		if !slices.Contains(d.group.log, id) {
			l.note("the acknowledged write %s is not in the log of the primary", id)

			missing++
		}
	}

	l.note("%d writes acknowledged, %d of them lost, term %d", len(acknowledged), missing, d.group.term)

	if missing > 0 {
		return 1, nil
	}

	return 0, nil
}
