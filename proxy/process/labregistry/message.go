package labregistry

import (
	"time"

	"laburnumlock.dev/lab"
)

// operation is what a call asks a replica to do.
type operation uint8

const (
	operationReserve  operation = iota // records a key under the call's token
	operationWithdraw                  // removes the token's reservation of a key
	operationResolve                   // stores the outcome of a request that ran
	operationTransfer                  // adopts the call's placement and returns a page of entries
)

// token identifies one reservation of a key. Every attempt to reserve has its own random token.
type token struct {
	High uint64 `msgpack:"h"`
	Low  uint64 `msgpack:"l"`
}

// call is the request of lab.MethodRegistry.
type call struct {
	Operation       operation               `msgpack:"o"`
	Database        string                  `msgpack:"d"`
	Placement       lab.RegistryPlacement   `msgpack:"p"`
	KnownPlacements []lab.RegistryPlacement `msgpack:"k"` // placements that the called replica may not know yet
	// Key is the organisation and the idempotency key, joined by entryKey. In a transfer it is the last key of the
	// previous page.
	Key       string                `msgpack:"n"`
	Token     token                 `msgpack:"t"`
	Retention time.Duration         `msgpack:"r"` // time for which the entry is kept
	Record    lab.IdempotencyRecord `msgpack:"c"`
}

// status is the result of a call at a replica.
type status uint8

const (
	statusOK         status = iota
	statusDuplicate         // the request ran, or its key is reserved under another token; see Record
	statusStaleEpoch        // the replica knows a placement with a later epoch
	statusIncomplete        // the replica does not have all entries of earlier epochs yet
	statusClosed            // the replica is shutting down
	statusFull              // the replica holds MaxEntries entries
	statusWithdrawn         // the reservation was withdrawn before its call arrived
)

// response is the response of lab.MethodRegistry.
type response struct {
	ID                 lab.InstanceID        `msgpack:"d"`
	Status             status                `msgpack:"v"`
	Record             lab.IdempotencyRecord `msgpack:"c"`
	IntactIncarnations []uint64              `msgpack:"i"` // incarnations of which the replica still has all entries
	// CompleteEpoch is the latest epoch for which the replica has all entries of earlier epochs.
	CompleteEpoch uint64                  `msgpack:"e"`
	Placements    []lab.RegistryPlacement `msgpack:"k"`
	Entries       []savedEntry            `msgpack:"n"`
	More          bool                    `msgpack:"m"` // more pages follow
}

// savedEntry is an entry in a transfer or snapshot.
type savedEntry struct {
	Key        string        `msgpack:"k"`
	Tokens     []token       `msgpack:"t"`
	Done       bool          `msgpack:"d"`
	CommandTag string        `msgpack:"g"`
	TTL        time.Duration `msgpack:"r"` // time left until the entry expires
}
