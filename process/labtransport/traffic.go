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

// openStreams counts the open streams of each method.
type openStreams struct{ expvar.Map }

// begin counts a stream and returns the function that ends it.
func (o *openStreams) begin(method lab.Method) (end func()) {
	o.Add(string(method), 1)

	return func() { o.Add(string(method), -1) }
}

// Variables returns the byte counters and the numbers of open streams by method as expvar variables. The byte counters count
// calls and stream headers, not stream data.
func (t *Transport) Variables() *expvar.Map {
	m := new(expvar.Map)
	m.Set("sent_bytes", &t.traffic.out)
	m.Set("received_bytes", &t.traffic.in)
	m.Set("served_streams_open", &t.served.Map)
	m.Set("opened_streams_open", &t.opened.Map)

	return m
}
