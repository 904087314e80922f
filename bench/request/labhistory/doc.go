// Package labhistory records the requests of clients with their results and checks that the recorded history keeps the
// invariants.
package labhistory
