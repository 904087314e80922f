package lab

// GatewayPlacement names the instance that is the gateway of a database in a region.
type GatewayPlacement struct {
	Region   string     `json:"region"   msgpack:"r"`
	Instance InstanceID `json:"instance" msgpack:"i"`
	Address  string     `json:"address"  msgpack:"a"` // host:port for requests of other instances
	Epoch    uint64     `json:"epoch"    msgpack:"e"` // grows with each change of the placement
}

// RegistryPlacement names the instances that store the idempotency registry of a database.
type RegistryPlacement struct {
	Epoch uint64 `json:"epoch"   msgpack:"e"`
	// Replicas are three instances, in three availability zones if the deployment has that many.
	Replicas []Instance `json:"holders" msgpack:"h"`
	// FormerReplicas lists the replicas of each earlier epoch, latest epoch first, for at most MaxFormerEpochs epochs.
	FormerReplicas [][]Instance `json:"former" msgpack:"f"`
}

// MaxFormerEpochs is the maximum number of earlier epochs in a registry placement. New registry replicas copy the
// idempotency keys from the replicas of earlier epochs. Several epochs are listed because the placement may change
// again before a copy completes.
const MaxFormerEpochs = 4

// Database is the state of one database group at an index of the replicated log.
type Database struct {
	Name       string             `json:"name"       msgpack:"n"`
	Index      uint64             `json:"index"      msgpack:"x"` // log index of the last change of this database
	Members    []Announcement     `json:"members"    msgpack:"m"`
	History    TermHistory        `json:"history"    msgpack:"h"` // empty until the first primary term is known
	Primary    string             `json:"primary"    msgpack:"p"` // name of the primary; empty while a promotion runs
	Placements []GatewayPlacement `json:"placements" msgpack:"l"`
	Registry   RegistryPlacement  `json:"registry"   msgpack:"g"`
}

// CurrentTerm returns the current primary term, or 0 if no term is known.
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
