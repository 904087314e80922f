// Package labclock provides the operating system's clock.
package labclock
