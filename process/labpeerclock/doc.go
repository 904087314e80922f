// Package labpeerclock converts times between the clock of this process and the clock of another process. The clocks of
// two machines have nothing in common but their rate, so the conversions return bounds.
package labpeerclock
