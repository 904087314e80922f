package lab

// GatewayPlacement says which instance is the gateway of a database in a region.
type GatewayPlacement struct {
	Region   string     `json:"region"   msgpack:"r"`
	Instance InstanceID `json:"instance" msgpack:"i"`
	Address  string     `json:"address"  msgpack:"a"` // host:port of the transport between processes
	Epoch    uint64     `json:"epoch"    msgpack:"e"`
}

// RegistryPlacement names the holders of a database's at-most-once registry.
type RegistryPlacement struct {
	Epoch          uint64       `json:"epoch"   msgpack:"e"`
	Replicas       []Instance   `json:"holders" msgpack:"h"` // three, in different availability zones where there are enough
	FormerReplicas [][]Instance `json:"former"  msgpack:"f"` // holders of up to FormerEpochs earlier epochs, the latest first
}

// MaxFormerEpochs is how many earlier epochs a registry placement tells the holders of, so that new holders find the names
// when placements change several times before the names have been transferred.
const MaxFormerEpochs = 4

// Database is the state of one database group as of a log index.
type Database struct {
	Name       string             `json:"name"       msgpack:"n"`
	Index      uint64             `json:"index"      msgpack:"x"` // log index of the last change
	Members    []Announcement     `json:"members"    msgpack:"m"`
	History    TermHistory        `json:"history"    msgpack:"h"` // empty until the first term is known
	Primary    string             `json:"primary"    msgpack:"p"` // member name; empty while a promotion runs
	Placements []GatewayPlacement `json:"placements" msgpack:"l"`
	Registry   RegistryPlacement  `json:"registry"   msgpack:"g"`
}

// CurrentTerm returns the term in force, 0 when none has started.
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

// Placement returns the placement in a region.
func (d *Database) Placement(region string) (GatewayPlacement, bool) {
	for _, p := range d.Placements {
		if p.Region == region {
			return p, true
		}
	}

	return GatewayPlacement{}, false
}
