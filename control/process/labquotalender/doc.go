// Package labquotalender grants the tokens that a control instance holds to the proxies that ask it. It does no I/O and reads
// no clock: every call receives the current time.
package labquotalender
