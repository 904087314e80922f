// Package labscenario runs the real proxies and control instances over loopback against stand-in upstreams under a named
// load, checks the invariants over the recorded history and reports the figures.
package labscenario
