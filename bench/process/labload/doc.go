// Package labload runs client sessions in an open loop and records their history. Operations are due at random times
// that don't depend on earlier responses. Latency is measured from the due time, so that it includes the wait for a
// busy session.
package labload
