package labcatalog

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Command is one entry of the replicated log. Any of its fields may be set. The parts are applied in a fixed order.
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
	ProposedAt      int64               `msgpack:"a,omitempty"` // proposer's wall-clock time in ms, for the audit trail only
}

// StoppedProxy reports that one incarnation of a proxy has stopped.
type StoppedProxy struct {
	Instance    lab.InstanceID `msgpack:"i"`
	Incarnation uint64         `msgpack:"n"`
}

// PlacementChange places a gateway role on another proxy. It is ignored unless BaseEpoch is the current epoch.
type PlacementChange struct {
	GatewayRole lab.GatewayRole `msgpack:"d"`
	Instance    lab.InstanceID  `msgpack:"i"` // empty if no proxy can hold the role
	BaseEpoch   uint64          `msgpack:"b"`
}

// RegistryChange changes the replicas of an idempotency registry. It is ignored unless BaseEpoch is the current epoch.
type RegistryChange struct {
	Database  string           `msgpack:"d"`
	Replicas  []lab.InstanceID `msgpack:"h"`
	BaseEpoch uint64           `msgpack:"b"`
}

// OperatorAction adds an operator's action other than a configuration change to the audit trail.
type OperatorAction struct {
	Operator string `msgpack:"o"`
	Action   string `msgpack:"a"`
	Object   string `msgpack:"n"`
}

// Result is the result of applying a command, which its proposer receives.
type Result struct {
	Index    uint64
	Response *ChangeResponse // response to a configuration change
	Err      error           // error of a rejected promotion step
}

// Encode returns the command as an entry of the replicated log.
func (c *Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return data, nil
}
