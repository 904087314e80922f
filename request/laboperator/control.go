package laboperator

import (
	"context"
	"net/http"
	"net/url"
)

// ControlGroup lists the control instances.
type ControlGroup struct {
	Leader       string   `json:"leader"`
	Voters       []string `json:"voters"`
	Learners     []string `json:"learners"`
	AppliedIndex uint64   `json:"applied_index"`
}

// ControlAddresses are the host:port pairs of a control instance.
type ControlAddresses struct {
	Process  string `json:"process_address"`
	Operator string `json:"operator_address"`
}

// Control returns the control group as its leader knows it.
func (c *Client) Control(ctx context.Context) (ControlGroup, error) {
	var g ControlGroup

	return g, c.Do(ctx, http.MethodGet, "/v1/control", nil, &g)
}

// AddControl makes a running instance with join set a voter; it may be sent again while the instance catches up.
func (c *Client) AddControl(ctx context.Context, name string, addresses ControlAddresses) (ControlGroup, error) {
	var g ControlGroup

	return g, c.Do(ctx, http.MethodPost, "/v1/control/"+url.PathEscape(name), addresses, &g)
}

// RemoveControl takes an instance out of the group; its name is never used again.
func (c *Client) RemoveControl(ctx context.Context, name string) (ControlGroup, error) {
	var g ControlGroup

	return g, c.Do(ctx, http.MethodDelete, "/v1/control/"+url.PathEscape(name), nil, &g)
}
