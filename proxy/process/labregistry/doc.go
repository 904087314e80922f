// Package labregistry makes named requests run at most once. A name is recorded on two of a database's three holders in
// different availability zones before its request is dispatched; any two pairs of holders share one, and a holder keeps
// only the first token of a name, so that at most one reservation of a name can succeed.
//
// When a placement gets a new epoch, no holder answers under it before it has gathered the names of the earlier epochs.
// It asks the holders of every earlier epoch that may have accepted names, which from then on refuse requests of earlier
// epochs. It is done when each pair of holders that could have recorded a name is covered: one of the two has answered
// with its memory intact, or both have lost theirs. With three holders, one may be unreachable as long as the other two
// have their memory. Otherwise reservations fail as not run, until the missing holder answers, in this or a later life,
// or MaxRetention has passed.
//
// This holds while placements change at most lab.MaxFormerEpochs times between two complete transfers.
//
// A placement must list a holder's current incarnation, and get a new epoch when a holder restarts. A holder with a data
// folder writes snapshots. After Close it restarts with its memory intact; after a crash it counts as having lost its
// memory, but contributes what its last snapshot had.
//
// Names are kept for their retention, at least 24 hours by default. A resend after that counts as a new name. A full
// holder refuses new names instead of forgetting old ones.
package labregistry
