package lab

// GatewayPlacement names the instance that is the gateway of a database in a region.
type GatewayPlacement struct {
	Region   string     `json:"region"   msgpack:"r"`
	Instance InstanceID `json:"instance" msgpack:"i"`
	Address  string     `json:"address"  msgpack:"a"` // host:port of the transport between instances
	Epoch    uint64     `json:"epoch"    msgpack:"e"` // grows with each change of the placement
}

// RegistryPlacement names the instances that store the idempotency registry of a database.
type RegistryPlacement struct {
	Epoch uint64 `json:"epoch"   msgpack:"e"`
	// Replicas are three instances, in different availability zones if there are enough.
	Replicas []Instance `json:"holders" msgpack:"h"`
	// FormerReplicas are the replicas of up to MaxFormerEpochs earlier epochs, latest first.
	FormerReplicas [][]Instance `json:"former" msgpack:"f"`
}

// MaxFormerEpochs limits the earlier epochs that a registry placement lists. New registry replicas copy the idempotency
// keys from the replicas of earlier epochs. Several epochs are listed because the placement may change again before a
// copy completes.
const MaxFormerEpochs = 4

// Database is the state of one database group at an index of the replicated log.
type Database struct {
	Name       string             `json:"name"       msgpack:"n"`
	Index      uint64             `json:"index"      msgpack:"x"` // log index of the last change
	Members    []Announcement     `json:"members"    msgpack:"m"`
	History    TermHistory        `json:"history"    msgpack:"h"` // empty until the first primary term is known
	Primary    string             `json:"primary"    msgpack:"p"` // member name; empty while a promotion runs
	Placements []GatewayPlacement `json:"placements" msgpack:"l"`
	Registry   RegistryPlacement  `json:"registry"   msgpack:"g"`
}

// CurrentTerm returns the current primary term, or 0 if none has started.
func (d *Database) CurrentTerm() PrimaryTerm {
	if len(d.History) == 0 {
		return 0
	}

	return d.History[len(d.History)-1].Term
}

// Member returns the announcement of the named member.
func (d *Database) Member(name string) (Announcement, bool) {
	for _, m := range d.Members {
		if m.Member == name {
			return m, true
		}
	}

	return Announcement{}, false
}

// Placement returns the gateway placement in a region.
func (d *Database) Placement(region string) (GatewayPlacement, bool) {
	for _, p := range d.Placements {
		if p.Region == region {
			return p, true
		}
	}

	return GatewayPlacement{}, false
}
