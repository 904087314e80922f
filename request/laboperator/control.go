package laboperator

import (
	"context"
	"net/http"
	"net/url"
)

// ControlGroup is the state of the control group: its leader, voters, learners and applied index.
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

// Control returns the state of the control group, as its leader reports it.
func (c *Client) Control(ctx context.Context) (ControlGroup, error) {
	var g ControlGroup

	return g, c.Do(ctx, http.MethodGet, "/v1/control", nil, &g)
}

// AddControl makes a running instance a voter. The settings of the instance must have join set. The call may be
// repeated while the instance is still catching up.
func (c *Client) AddControl(ctx context.Context, name string, addresses ControlAddresses) (ControlGroup, error) {
	var g ControlGroup

	return g, c.Do(ctx, http.MethodPost, "/v1/control/"+url.PathEscape(name), addresses, &g)
}

// RemoveControl removes an instance from the group. No later instance can use its name.
func (c *Client) RemoveControl(ctx context.Context, name string) (ControlGroup, error) {
	var g ControlGroup

	return g, c.Do(ctx, http.MethodDelete, "/v1/control/"+url.PathEscape(name), nil, &g)
}
