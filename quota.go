package lab

import (
	"context"
	"time"
)

// MethodQuota is the method by which a proxy or a control instance asks for tokens of organisations' quotas.
const MethodQuota Method = "quota"

// QuotaRequest asks for tokens and reports which earlier ones were spent.
type QuotaRequest struct {
	Instance InstanceID  `msgpack:"i"` // sender, whose tokens are accounted separately
	Items    []QuotaItem `msgpack:"t"`
}

// QuotaItem concerns one organisation.
type QuotaItem struct {
	Organisation string `msgpack:"o"`
	Spent        int    `msgpack:"s,omitempty"` // tokens spent since the last request that was answered
	Want         int    `msgpack:"w,omitempty"` // tokens that the sender asks for
}

// QuotaResponse carries the granted tokens in the order of the request's items.
type QuotaResponse struct {
	// Leader is set if the responding instance can't answer because it knows no leader.
	Leader   InstanceID    `msgpack:"l,omitempty"`
	Grants   []QuotaGrant  `msgpack:"g"`
	ValidFor time.Duration `msgpack:"v"` // time from the sending of the request until the granted tokens expire
}

// QuotaGrant is the number of tokens granted to one organisation.
type QuotaGrant struct {
	Granted    int           `msgpack:"g,omitempty"`
	RetryAfter time.Duration `msgpack:"r,omitempty"` // time until a token is expected if none was granted
}

// OperationQuota decides whether an organisation may run a further operation.
type OperationQuota interface {
	// Take takes a token for one operation of the organisation. Its error has the outcome OutcomeNotRun.
	Take(ctx context.Context, organisation OrganisationPolicy) error
	// Return gives the token of an operation back that sent nothing to a member.
	Return(organisation OrganisationPolicy)
}
