package labcatalog

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Command is one entry of the replicated log. Several fields may be set; Catalog.Apply applies them in a fixed order.
// Of the fields Started, Chosen, Cancelled, Term, Departed and Forgotten, it applies only the first one that is set.
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

// PlacementChange places a gateway role on another proxy. It is ignored unless BaseEpoch is the current epoch of the
// gateway placement.
type PlacementChange struct {
	GatewayRole lab.GatewayRole `msgpack:"d"`
	Instance    lab.InstanceID  `msgpack:"i"` // proxy that becomes the gateway; empty if no proxy can
	BaseEpoch   uint64          `msgpack:"b"`
}

// RegistryChange changes the replicas of an idempotency registry. It is ignored unless BaseEpoch is the current epoch
// of the registry placement.
type RegistryChange struct {
	Database  string           `msgpack:"d"`
	Replicas  []lab.InstanceID `msgpack:"h"` // proxies that become the registry replicas
	BaseEpoch uint64           `msgpack:"b"`
}

// OperatorAction adds an action of an operator to the audit trail. It is not used for configuration changes,
// because Catalog.Apply itself adds each configuration change to the audit trail.
type OperatorAction struct {
	Operator string `msgpack:"o"`
	Action   string `msgpack:"a"`
	Object   string `msgpack:"n"`
}

// Result is the result of applying a command, which its proposer receives.
type Result struct {
	Index    uint64
	Response *ChangeResponse // response to a configuration change
	Err      error           // error of a command that was rejected or could not be decoded
}

// Encode returns the command as an entry of the replicated log.
func (c *Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}

	return data, nil
}
