// Package labregistry is the idempotency registry: a request with an idempotency key runs at most once. Before the
// request is dispatched, its key is recorded at two of the database's three registry replicas, in different
// availability zones. Any two such pairs of replicas have one in common, and a replica keeps only the first token of a
// key, so at most one reservation of a key can succeed.
//
// When the placement of the replicas gets a new epoch, a replica must first transfer the entries of earlier epochs
// before it records keys under the new epoch. It fetches them from the replicas of every earlier epoch that may have
// recorded keys; from then on these replicas reject reservations under earlier epochs. The transfer is complete when
// each pair of replicas that could have recorded a key is covered: one of the two has responded and is intact, or both
// have responded that they lost entries. A replica is intact if it still has every entry that it recorded since its
// incarnation began. With three replicas, one may be unreachable as long as the other two are intact. Otherwise
// reservations fail as not run until the missing replica responds, in this or a later incarnation, or until
// MaxRetention has passed.
//
// This holds while placements change at most lab.MaxFormerEpochs times between two complete transfers.
//
// A placement must list a replica's current incarnation, and get a new epoch when a replica restarts. A replica with a
// data folder writes snapshots. A restart after Close keeps the replica intact. After a crash it isn't intact any more,
// but still contributes the entries of its last snapshot.
//
// Entries are kept for their retention, by default 24 hours. A request that is resent after that counts as a new
// request. A full replica rejects new keys instead of dropping entries.
package labregistry
