// Package lableaderclock converts times between the clock of this process and the clock of the control group's leader.
// The clocks of two machines have nothing in common but their rate, so the conversions return bounds.
package lableaderclock
