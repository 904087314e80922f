// Package labmetrics publishes counters and latency histograms through expvar.
package labmetrics
