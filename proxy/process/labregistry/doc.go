// Package labregistry is the idempotency registry: a request with an idempotency key runs at most once. Before the
// request is dispatched, its key is recorded at two of the database's three registry replicas, in different
// availability zones. Any two such pairs have a replica in common, and a replica keeps only the first token of a key,
// so at most one reservation of a key can succeed.
//
// When the placement of the replicas gets a new epoch, a replica must have the entries of all earlier epochs before it
// records keys under the new epoch. It starts a transfer, which fetches these entries from the replicas of every
// earlier epoch in which keys may have been recorded. As soon as a replica responds to the transfer, it rejects
// reservations under earlier epochs. A replica is intact if it still has every entry that it recorded since its
// incarnation began. A pair of replicas is covered when both have responded, or when one has responded and is intact.
// The transfer is complete when every pair that could have recorded a key is covered. With three replicas, one may be
// unreachable as long as the other two are intact. Otherwise reservations fail, and requests with a key do not run,
// until the missing replica responds, in this or a later incarnation, or until MaxRetention has passed.
//
// That a request runs at most once is guaranteed only while placements change at most lab.MaxFormerEpochs times between
// two complete transfers.
//
// A placement must list a replica's current incarnation, and get a new epoch when a replica restarts. A replica with a
// data folder writes snapshots. A replica that restarts after Close stays intact. A replica that restarts after a crash
// is not intact any more, but still contributes the entries of its last snapshot.
//
// Entries are kept for their retention, by default 24 hours. A request that is resent after that counts as a new
// request. A full replica rejects new keys instead of dropping entries.
package labregistry
