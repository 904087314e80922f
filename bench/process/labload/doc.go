// Package labload runs client sessions in an open loop and records their history. Operations are due at random times
// that don't depend on earlier responses, so that the wait for a busy session counts as latency.
package labload
