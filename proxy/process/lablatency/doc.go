// Package lablatency measures the latency of one member as this proxy sees it: a moving average that rises fast (peak
// EWMA), whose weight decays while nothing is measured, and a baseline of the latency in normal operation.
package lablatency
