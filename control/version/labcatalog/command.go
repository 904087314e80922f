package labcatalog

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Command is one entry of the consensus log; any of its parts may be set, and they are applied in field order.
type Command struct {
	Change     *Change            `msgpack:"c,omitempty"`
	Joined     []lab.Instance     `msgpack:"j,omitempty"`
	Draining   []lab.InstanceID   `msgpack:"w,omitempty"`
	Left       []Departure        `msgpack:"l,omitempty"`
	Members    []lab.Announcement `msgpack:"m,omitempty"`
	Placements []PlacementSet     `msgpack:"p,omitempty"`
	Registries []RegistrySet      `msgpack:"r,omitempty"`
	Started    *PromotionStarted  `msgpack:"s,omitempty"`
	Chosen     *PromotionChosen   `msgpack:"h,omitempty"`
	Cancelled  *PromotionCancel   `msgpack:"x,omitempty"`
	Term       *TermStarted       `msgpack:"t,omitempty"`
	Departed   *MemberDeparted    `msgpack:"d,omitempty"`
	Forgotten  *MemberForgotten   `msgpack:"f,omitempty"`
	Control    *ControlInstance   `msgpack:"k,omitempty"`
	Note       *Note              `msgpack:"n,omitempty"`
	At         int64              `msgpack:"a,omitempty"` // proposer's calendar time in ms, for the audit trail only
}

// Departure says that one life of an instance has ended.
type Departure struct {
	Instance    lab.InstanceID `msgpack:"i"`
	Incarnation uint64         `msgpack:"n"`
}

// PlacementSet moves a duty; it is ignored unless BaseEpoch is the epoch in force.
type PlacementSet struct {
	Duty      lab.GatewayRole `msgpack:"d"`
	Instance  lab.InstanceID  `msgpack:"i"` // empty when no instance can hold the duty
	BaseEpoch uint64          `msgpack:"b"`
}

// RegistrySet changes the holders of a registry; it is ignored unless BaseEpoch is the epoch in force.
type RegistrySet struct {
	Database  string           `msgpack:"d"`
	Holders   []lab.InstanceID `msgpack:"h"`
	BaseEpoch uint64           `msgpack:"b"`
}

// Note appends an operator's action that is no configuration change to the audit trail.
type Note struct {
	Operator string `msgpack:"o"`
	Action   string `msgpack:"a"`
	Object   string `msgpack:"n"`
}

// Result is what applying a command returns to its proposer.
type Result struct {
	Index  uint64
	Answer *Answer // to a configuration change
	Err    error   // why a promotion step was refused
}

// Encode returns the command's log entry.
func (c *Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return data, nil
}
