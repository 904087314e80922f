package main

import (
	"fmt"
	"time"
)

const (
	injectedRequest = "0dd00000000000ff"
	checkIns        = 4
)

// playCheckInInjects sends check-ins of another writer. Their id has the line end of the members' protocol in it, and a
// message after that.
func playCheckInInjects(r *record, trouble bool) (string, error) {
	s := newService(r, "svc1a", 5*time.Millisecond)

	d, err := startServing(r, "primary", 1500*time.Millisecond, s)
	if d != nil {
		defer d.stop()
	}

	if err != nil {
		return "", err
	}

	c, err := dial(d.address(1, frontendPort), "db-svc1a", link{})
	if err != nil {
		return "", err
	}
	defer c.conn.Close()

	if _, err := ask(r, c, "STORE tower-4 Aino"); err != nil {
		return "", err
	}

	if trouble {
		m := s.members[0]
		id := m.id + "\r\nQUERY " + injectedRequest + " STORE tower-4 nobody"

		for n := range checkIns {
			a := d.controls()[n%machineCount]
			status, err := putInstance(a, id, m.announcement(n+1))
			r.add("check-in", "id %q at %s to %s: %d %v", id, m.address, a, status, err)
			time.Sleep(checkInInterval)
		}
	}

	time.Sleep(4 * time.Second)

	a, err := ask(r, c, "FETCH tower-4")
	if err != nil && !trouble {
		return "", err
	}

	runs := r.count("request=" + injectedRequest)
	if runs == 0 {
		return "", nil
	}

	return fmt.Sprintf("UNASKED: a member ran a statement %d times that no consumer sent; the item has %d rows, one was stored",
		runs, len(a.rows)), nil
}

// ask sends a query and repeats it while it is refused.
func ask(r *record, c *client, text string) (answer, error) {
	var last answer

	for range 10 {
		id := requestID()
		r.add("sent", "request=%s %s", id, text)

		a, _, err := c.query(id, text, 4*time.Second)
		r.add("answered", "request=%s rows=%q complete=%q fault=%q error=%v", id, a.rows, a.complete, a.fault, err)

		if err != nil || a.fault == "" {
			return a, err
		}

		last = a

		time.Sleep(200 * time.Millisecond)
	}

	return last, fmt.Errorf("%s is refused: %s", text, last.fault)
}
