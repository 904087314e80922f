package labcatalog

import (
	"crypto/sha256"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Kinds of configuration objects.
const (
	KindTemplate     = "template"
	KindOrganisation = "organisation"
)

// Change is an operator's change of one template or organisation. It deletes the object if both documents are nil.
type Change struct {
	ID           string                `msgpack:"i"`
	Operator     string                `msgpack:"o"`
	Kind         string                `msgpack:"k"`
	Name         string                `msgpack:"n"`
	BaseVersion  uint64                `msgpack:"b"` // version of the object on which the change is based, 0 for none
	Template     *TemplateDocument     `msgpack:"t,omitempty"`
	Organisation *OrganisationDocument `msgpack:"g,omitempty"`
}

// Outcomes of a change.
const (
	OutcomeAccepted = "accepted"
	OutcomeConflict = "conflict"
	OutcomeRejected = "rejected"
)

// ChangeResponse is the response to a change. A repeated request with the same change id gets the same response.
type ChangeResponse struct {
	ChangeID string      `json:"change_id"        msgpack:"i"`
	Outcome  string      `json:"outcome"          msgpack:"o"`
	Version  uint64      `json:"version"          msgpack:"v"` // configuration version created by the change, 0 for none
	Index    uint64      `json:"index"            msgpack:"x"` // index of the change in the replicated log
	Winner   *ChangeInfo `json:"winner,omitempty" msgpack:"w"` // the earlier change that caused the conflict
	Reason   string      `json:"reason,omitempty" msgpack:"r"` // why the change was not accepted
}

// ChangeInfo identifies the last change of an object.
type ChangeInfo struct {
	Operator string `json:"operator"  msgpack:"o"`
	ChangeID string `json:"change_id" msgpack:"i"`
	Version  uint64 `json:"version"   msgpack:"v"`
}

// digest returns the SHA-256 hash of a change. It distinguishes different changes with the same id.
func (c *Change) digest() []byte {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil // can't happen: a document that was decoded from msgpack can be encoded again
	}
	sum := sha256.Sum256(data)

	return sum[:]
}

func (c *Change) conflict(winner ChangeInfo) ChangeResponse {
	return ChangeResponse{
		ChangeID: c.ID, Outcome: OutcomeConflict, Winner: &winner,
		Reason: fmt.Sprintf("%s %s was changed by %s (change %s, version %d) after base version %d",
			c.Kind, c.Name, winner.Operator, winner.ChangeID, winner.Version, c.BaseVersion),
	}
}

func (c *Change) rejected(reason string) ChangeResponse {
	return ChangeResponse{ChangeID: c.ID, Outcome: OutcomeRejected, Reason: reason}
}
