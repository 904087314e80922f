// Package labquotaholder holds the tokens of organisations' quotas that another instance has granted to this one, until they
// are used or expire. Control instances hold tokens of the leader for the proxies that ask them, proxies hold tokens of a
// control instance for their operations. It reads no clock: every call receives the current time.
package labquotaholder
