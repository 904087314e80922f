package main

import (
	"fmt"
	"time"
)

const (
	busySessions = 40
	busyShortest = 120 * time.Millisecond
	busyLongest  = 170 * time.Millisecond  // the longest reads of the site
	busyTimeout  = 1500 * time.Millisecond // time limit of the route
	clientDelay  = time.Millisecond        // one way between a client and a proxy
)

// playStopCutsBusy stops one proxy while clients send one read after the other in their sessions.
func playStopCutsBusy(r *record, trouble bool) (string, error) {
	var (
		services  []*service
		databases []string
	)

	for _, name := range []string{"svc1a", "svc2b", "svc3c"} {
		services = append(services, newService(r, name, busyShortest, busyLongest))
		databases = append(databases, "db-"+name)
	}

	d, err := startServing(r, "bounded_staleness", busyTimeout, services...)
	if d != nil {
		defer d.stop()
	}

	if err != nil {
		return "", err
	}

	// The pause stands for the way of an answer to the client and of the next request to the proxy.
	all, stopped, err := d.playClients(r, trouble, busySessions, databases, "FETCH 1a4", 2*clientDelay, 0, link{})
	if err != nil {
		return "", err
	}

	cut := 0

	for _, o := range all {
		if !cutAfterStop(o, stopped, busyTimeout) {
			continue
		}

		sent, ended := o.sent.Sub(stopped), o.ended.Sub(stopped)
		passedOn := r.count("request="+o.id) > 0
		excused := sent <= 3*time.Second && ended >= graceS-graceS/6 // the member was still at work in the last sixth
		r.add("cut", "request=%s sent %d ms after SIGTERM, cut %d ms after it, passed on: %t, excused: %t", o.id,
			sent.Milliseconds(), ended.Milliseconds(), passedOn, excused)

		if passedOn && !excused {
			cut++
		}
	}

	if cut == 0 {
		return "", nil
	}

	return fmt.Sprintf("LOST: %d requests that a member ran were cut after SIGTERM, of %d", cut, len(all)), nil
}
