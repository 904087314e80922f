package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// foreignID is the id of a statement that no consumer sends.
const foreignID = "0dd0dd0dd0dd0dd0"

// inject sends one check-in of another writer. It lacks fields, and its id has a line end in it, with the text of a
// statement behind. The address is that of the primary.
func inject(l *lab, trouble bool) (int, error) {
	d, err := startDeployment(l)
	if err != nil {
		return 2, err
	}

	c := newConsumers(l, d.nodes)
	c.run("booking1", "STORE 1a4 xkqpwnzd", 100*time.Millisecond)
	c.run("notes1", "FETCH 1a4", 50*time.Millisecond)
	time.Sleep(4 * time.Second)

	p := d.members[0]
	id := p.id

	if trouble {
		id = p.id + "\r\nQUERY " + foreignID + " STORE 1a4 nobody"
		body, _ := json.Marshal(map[string]any{
			"service": d.group.service, "address": p.address(), "zone": p.zone, "state": "ready", "dbRole": "replica",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
		s, text := call(http.MethodPut, d.nodes[0].controlURL()+"/-/instances/"+url.PathEscape(id), string(body))
		l.note("PUT /-/instances/%s at %s without version, capacity and warmupLeftMs: %d %q", url.PathEscape(id), d.nodes[0].name,
			s, text)
	}

	time.Sleep(10 * time.Second)
	c.end()

	d.group.mutex.Lock()
	defer d.group.mutex.Unlock()

	foreign, sent := 0, map[string]bool{}

	for i := range c.ids.Load() {
		sent[consumerID(i+1)] = true
	}

	for _, o := range d.group.log {
		if !sent[o] {
			foreign++
		}
	}

	l.note("the log of the primary has %d commits, %d of them by statements that no consumer sent", len(d.group.log), foreign)

	if foreign > 0 {
		return 1, nil
	}

	return 0, nil
}
