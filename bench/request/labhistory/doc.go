// Package labhistory records the requests of client sessions with their results. It checks the recorded history for
// violations of the system's invariants, such as lost writes.
package labhistory
