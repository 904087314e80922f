package labregistry

import (
	"time"

	"laburnumlock.dev/lab"
)

// operation is what a call asks of a holder.
type operation uint8

const (
	operationReserve  operation = iota
	operationWithdraw           // frees a name that its token reserved
	operationResolve            // stores an outcome
	operationTransfer           // refuses earlier epochs from now on and returns a page of names
)

// token identifies one reservation of a name.
type token struct {
	High uint64 `msgpack:"h"`
	Low  uint64 `msgpack:"l"`
}

// call is the request of lab.MethodRegistry.
type call struct {
	Operation       operation               `msgpack:"o"`
	Database        string                  `msgpack:"d"`
	Placement       lab.RegistryPlacement   `msgpack:"p"`
	KnownPlacements []lab.RegistryPlacement `msgpack:"k"` // earlier placements that the sender knows of
	Key             string                  `msgpack:"n"` // of the name; in a transfer the last key of the page before
	Token           token                   `msgpack:"t"`
	Retention       time.Duration           `msgpack:"r"`
	Record          lab.IdempotencyRecord   `msgpack:"c"`
}

// status is a holder's answer to a call.
type status uint8

const (
	statusOK         status = iota
	statusDuplicate         // the name has another token; Record tells its outcome
	statusStaleEpoch        // the holder has seen a later epoch
	statusIncomplete        // the holder does not have all names of earlier epochs yet
	statusClosed
	statusFull
)

// response is the response of lab.MethodRegistry.
type response struct {
	ID                 lab.InstanceID          `msgpack:"d"`
	Status             status                  `msgpack:"v"`
	Record             lab.IdempotencyRecord   `msgpack:"c"`
	IntactIncarnations []uint64                `msgpack:"i"` // incarnations since which the holder has its memory
	CompleteEpoch      uint64                  `msgpack:"e"` // last epoch for which the holder has all earlier names
	Placements         []lab.RegistryPlacement `msgpack:"k"`
	Entries            []savedEntry            `msgpack:"n"`
	More               bool                    `msgpack:"m"` // further pages follow
}

// savedEntry is a name in a transfer or snapshot.
type savedEntry struct {
	Key        string        `msgpack:"k"`
	Tokens     []token       `msgpack:"t"`
	Done       bool          `msgpack:"d"`
	CommandTag string        `msgpack:"g"`
	TTL        time.Duration `msgpack:"r"` // until it expires
}
