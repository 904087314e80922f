package labmetrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUS       = int64(60 * time.Second / time.Microsecond)
	significantFigures = 2
	histogramShards    = 8
)

// Histogram collects latencies. It is an expvar.Var whose JSON value holds the count, the mean and percentiles in
// microseconds. Its data is split into shards with a mutex each, which reduces lock contention.
type Histogram struct {
	shards [histogramShards]shard
}

type shard struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram for latencies of up to one minute.
func NewHistogram() *Histogram {
	h := &Histogram{}
	for i := range h.shards {
		h.shards[i].histogram = hdrhistogram.New(1, maxLatencyUS, significantFigures)
	}

	return h
}

// Record adds one latency. A latency above one minute is counted as one minute.
func (h *Histogram) Record(latency time.Duration) {
	us := min(latency.Microseconds(), maxLatencyUS)
	s := &h.shards[uint64(latency)%histogramShards]

	s.mutex.Lock()
	defer s.mutex.Unlock()

	_ = s.histogram.RecordValue(us) // cannot fail: us is at most maxLatencyUS
}

// Merged returns one histogram with all recorded latencies in microseconds.
func (h *Histogram) Merged() *hdrhistogram.Histogram {
	all := hdrhistogram.New(1, maxLatencyUS, significantFigures)

	for i := range h.shards {
		s := &h.shards[i]
		s.mutex.Lock()
		all.Merge(s.histogram)
		s.mutex.Unlock()
	}

	return all
}

// String returns the JSON value that expvar publishes.
func (h *Histogram) String() string {
	all := h.Merged()
	b, _ := json.Marshal(map[string]int64{ // encoding a map of numbers cannot fail
		"count":   all.TotalCount(),
		"mean_us": int64(all.Mean()),
		"p50_us":  all.ValueAtQuantile(50),
		"p95_us":  all.ValueAtQuantile(95),
		"p99_us":  all.ValueAtQuantile(99),
		"max_us":  all.Max(),
	})

	return string(b)
}
