package lab

import (
	"context"
	"time"
)

// MethodQuota is the method by which a proxy asks a control instance for tokens of organisations' quotas.
const MethodQuota Method = "quota"

// QuotaRequest asks for tokens and reports what became of earlier ones.
type QuotaRequest struct {
	Instance InstanceID  `msgpack:"i"` // sender, whose tokens are accounted separately
	Items    []QuotaItem `msgpack:"t"`
}

// QuotaItem concerns one organisation.
type QuotaItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names, since requests have many items

	Organisation string
	Need         int // tokens that operations wait for
	Want         int // further tokens, for later operations
	Reports      []QuotaReport
}

// QuotaReport says what became of the tokens of one grant. It may be sent more than once: its numbers are totals.
type QuotaReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names

	Number   uint64 // number of the grant
	Spent    int    // tokens that operations have used
	Returned int    // tokens that the sender has given up unused
}

// QuotaResponse answers a QuotaRequest. There may be several grants and a refusal for an item.
type QuotaResponse struct {
	Grants   []QuotaGrant   `msgpack:"g"`
	Refusals []QuotaRefusal `msgpack:"r,omitempty"`
}

// QuotaGrant grants tokens to the sender of a request. Tokens that are not reported by the time at which they expire count
// as spent.
type QuotaGrant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names

	Item     int    // index of the item in the request
	Number   uint64 // identifies the grant in reports to the instance that made it
	Granted  int
	ValidFor time.Duration // time from the sending of the request until the tokens expire
}

// QuotaRefusal says that some of the tokens that operations wait for are not granted.
type QuotaRefusal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names

	Item       int           // index of the item in the request
	RetryAfter time.Duration // time for which further requests would be in vain
	NoContact  bool          // whether the responding instance did not reach the leader; otherwise the limit is reached
}

// QuotaToken is the right to run one operation. The zero value belongs to an operation that needs none.
type QuotaToken struct {
	Organisation string
	Number       uint64 // number of the grant that the token is from
	Source       string // process address of the instance that made the grant
}

// OperationQuota decides whether an organisation may run a further operation.
type OperationQuota interface {
	// Take takes a token for one operation of the organisation. Its error has the outcome OutcomeNotRun.
	Take(ctx context.Context, organisation OrganisationPolicy) (QuotaToken, error)
	// End ends the use of a token. If the operation sent nothing to a member, used is false and another operation may take
	// the token. It must be called once for each token.
	End(token QuotaToken, used bool)
}
