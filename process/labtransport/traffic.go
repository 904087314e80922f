package labtransport

import (
	"expvar"

	"laburnumlock.dev/lab"
)

// trafficCounters counts the payload bytes sent and received for each method.
type trafficCounters struct {
	out expvar.Map
	in  expvar.Map
}

func (t *trafficCounters) sent(method lab.Method, size int) {
	t.out.Add(string(method), int64(size))
}

func (t *trafficCounters) received(method lab.Method, size int) {
	t.in.Add(string(method), int64(size))
}

// Variables returns the byte counters as expvar variables. They count calls and stream headers, not stream data.
func (t *Transport) Variables() *expvar.Map {
	m := new(expvar.Map)
	m.Set("sent_bytes", &t.traffic.out)
	m.Set("received_bytes", &t.traffic.in)

	return m
}
