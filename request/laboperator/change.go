package laboperator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// Kind is a kind of configuration object, as it stands in the API's paths.
type Kind string

// The kinds of configuration objects.
const (
	KindTemplate     Kind = "templates"
	KindOrganisation Kind = "organisations"
)

// Change is a change of one object; sending it again with the same id returns the first answer.
type Change struct {
	ID          string          `json:"change_id"`
	Operator    string          `json:"operator"`
	BaseVersion uint64          `json:"base_version"` // version of the object that the change is based on, 0 for none
	Document    json.RawMessage `json:"document,omitempty"`
}

// ChangeInfo says who made a change.
type ChangeInfo struct {
	Operator string `json:"operator"`
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// ChangeResult is what became of a change.
type ChangeResult struct {
	ChangeID          string      `json:"change_id"`
	Outcome           string      `json:"outcome"`
	Version           uint64      `json:"version"`
	Index             uint64      `json:"index"`
	ConflictingChange *ChangeInfo `json:"winner,omitempty"` // the change in the way of a conflicting one
	Reason            string      `json:"reason,omitempty"`
	AcceptedVersion   uint64      `json:"accepted_version"`
}

// Object is a stored template or organisation.
type Object struct {
	Name       string          `json:"name"`
	Document   json.RawMessage `json:"document"`
	LastChange ChangeInfo      `json:"changed"`
	Deleted    bool            `json:"deleted"`
	Merged     json.RawMessage `json:"merged,omitempty"` // organisation with its template's parameters
}

// ChangeStatus tells where a change is in force.
type ChangeStatus struct {
	ChangeResult
	Accepted       bool     `json:"accepted"`
	Active         bool     `json:"in_force"`
	ConfirmedCount int      `json:"confirmed"`
	Waiting        []string `json:"waiting"`
}

// NewChangeID returns a random change id.
func NewChangeID() string {
	var b [12]byte

	_, _ = rand.Read(b[:]) // never fails

	return hex.EncodeToString(b[:])
}

// Put sends a change of an object and returns its answer; a conflict or rejection is a *StatusError.
func (c *Client) Put(ctx context.Context, kind Kind, name string, change Change) (ChangeResult, error) {
	return c.change(ctx, http.MethodPut, kind, name, change)
}

// Delete sends the deletion of an object and returns its answer.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, change Change) (ChangeResult, error) {
	return c.change(ctx, http.MethodDelete, kind, name, change)
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object

	return o, c.Do(ctx, http.MethodGet, path(kind, name), nil, &o)
}

// List returns the names of all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) ([]string, error) {
	var l struct {
		Names []string `json:"names"`
	}

	return l.Names, c.Do(ctx, http.MethodGet, "/v1/"+string(kind), nil, &l)
}

// ChangeStatus returns what became of a change and where it is in force.
func (c *Client) ChangeStatus(ctx context.Context, id string) (ChangeStatus, error) {
	var s ChangeStatus

	return s, c.Do(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil, &s)
}

func (c *Client) change(ctx context.Context, method string, kind Kind, name string, change Change) (ChangeResult, error) {
	if change.Operator == "" {
		change.Operator = c.Identity.Name
	}

	var a ChangeResult
	if err := c.Do(ctx, method, path(kind, name), change, &a); err != nil {
		return a, errors.Newf("change %s/%s: %w", kind, name, err)
	}

	return a, nil
}

func path(kind Kind, name string) string {
	return "/v1/" + string(kind) + "/" + url.PathEscape(name)
}
