// Package labscenario measures a deployment of proxies, control instances and stand-in servers under the load of a
// named scenario. It checks that the recorded history keeps the invariants and reports the measured values.
package labscenario
