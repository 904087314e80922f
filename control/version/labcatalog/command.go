package labcatalog

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Command is one entry of the consensus log; any of its parts may be set, and they are applied in field order.
type Command struct {
	Change          *Change             `msgpack:"c,omitempty"`
	JoinedProxies   []lab.Instance      `msgpack:"j,omitempty"`
	DrainingProxies []lab.InstanceID    `msgpack:"w,omitempty"`
	StoppedProxies  []StoppedProxy      `msgpack:"l,omitempty"`
	Announcements   []lab.Announcement  `msgpack:"m,omitempty"`
	Placements      []PlacementChange   `msgpack:"p,omitempty"`
	Registries      []RegistryChange    `msgpack:"r,omitempty"`
	Started         *PromotionStarted   `msgpack:"s,omitempty"`
	Chosen          *PromotionChosen    `msgpack:"h,omitempty"`
	Cancelled       *PromotionCancelled `msgpack:"x,omitempty"`
	Term            *TermStarted        `msgpack:"t,omitempty"`
	Departed        *MemberDeparted     `msgpack:"d,omitempty"`
	Forgotten       *MemberForgotten    `msgpack:"f,omitempty"`
	ControlInstance *ControlInstance    `msgpack:"k,omitempty"`
	OperatorAction  *OperatorAction     `msgpack:"n,omitempty"`
	ProposedAt      int64               `msgpack:"a,omitempty"` // proposer's calendar time in ms, for the audit trail only
}

// StoppedProxy says that one life of an instance has ended.
type StoppedProxy struct {
	Instance    lab.InstanceID `msgpack:"i"`
	Incarnation uint64         `msgpack:"n"`
}

// PlacementChange moves a duty; it is ignored unless BaseEpoch is the epoch in force.
type PlacementChange struct {
	GatewayRole lab.GatewayRole `msgpack:"d"`
	Instance    lab.InstanceID  `msgpack:"i"` // empty when no instance can hold the duty
	BaseEpoch   uint64          `msgpack:"b"`
}

// RegistryChange changes the holders of a registry; it is ignored unless BaseEpoch is the epoch in force.
type RegistryChange struct {
	Database  string           `msgpack:"d"`
	Holders   []lab.InstanceID `msgpack:"h"`
	BaseEpoch uint64           `msgpack:"b"`
}

// OperatorAction appends an operator's action that is no configuration change to the audit trail.
type OperatorAction struct {
	Operator string `msgpack:"o"`
	Action   string `msgpack:"a"`
	Object   string `msgpack:"n"`
}

// Result is what applying a command returns to its proposer.
type Result struct {
	Index    uint64
	Response *ChangeResponse // to a configuration change
	Err      error           // why a promotion step was refused
}

// Encode returns the command's log entry.
func (c *Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return data, nil
}
