// Package labload drives callers' sessions open-loop, so that waiting counts as latency, and records their history.
package labload
