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

// Kind is a kind of configuration object. Its value is the path segment in the API.
type Kind string

// The kinds of configuration objects.
const (
	KindTemplate     Kind = "templates"
	KindOrganisation Kind = "organisations"
)

// Change is a change of one object. If a change is sent again with the same id, it is not applied again, and the
// response contains the result of the first request.
type Change struct {
	ID          string          `json:"change_id"`
	Operator    string          `json:"operator"`
	BaseVersion uint64          `json:"base_version"` // version of the object that is changed; 0 for a new object
	Document    json.RawMessage `json:"document,omitempty"`
}

// ChangeInfo identifies a change: who made it and which version of the object it created.
type ChangeInfo struct {
	Operator string `json:"operator"`
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	ChangeID          string      `json:"change_id"`
	Outcome           string      `json:"outcome"`
	Version           uint64      `json:"version"`
	Index             uint64      `json:"index"`
	ConflictingChange *ChangeInfo `json:"winner,omitempty"` // earlier change that this change conflicts with; nil for none
	Reason            string      `json:"reason,omitempty"`
	AcceptedVersion   uint64      `json:"accepted_version"`
}

// Object is a stored template or organisation.
type Object struct {
	Name       string          `json:"name"`
	Document   json.RawMessage `json:"document"`
	LastChange ChangeInfo      `json:"changed"`
	Deleted    bool            `json:"deleted"`
	Merged     json.RawMessage `json:"merged,omitempty"` // organisation's document, including its template's parameters
}

// ChangeStatus states which proxies have applied a change.
type ChangeStatus struct {
	ChangeResult
	Accepted       bool     `json:"accepted"`
	Active         bool     `json:"in_force"`  // all live proxies have applied the change
	AppliedCount   int      `json:"confirmed"` // number of live proxies that have applied the change
	PendingProxies []string `json:"waiting"`   // names of the live proxies that have not applied the change
}

// NewChangeID returns a random change id.
func NewChangeID() string {
	var b [12]byte

	_, _ = rand.Read(b[:]) // rand.Read never fails

	return hex.EncodeToString(b[:])
}

// Put creates or changes an object and returns the result. On a conflict or a rejection the error is a *StatusError.
func (c *Client) Put(ctx context.Context, kind Kind, name string, change Change) (ChangeResult, error) {
	return c.change(ctx, http.MethodPut, kind, name, change)
}

// Delete deletes an object and returns the result.
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

// ChangeStatus returns the outcome of a change and which proxies have applied it.
func (c *Client) ChangeStatus(ctx context.Context, id string) (ChangeStatus, error) {
	var s ChangeStatus

	return s, c.Do(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil, &s)
}

func (c *Client) change(
	ctx context.Context, method string, kind Kind, name string, change Change,
) (ChangeResult, error) {
	if change.Operator == "" {
		change.Operator = c.Identity.Name
	}

	var r ChangeResult
	if err := c.Do(ctx, method, path(kind, name), change, &r); err != nil {
		return r, errors.Newf("change %s/%s: %w", kind, name, err)
	}

	return r, nil
}

func path(kind Kind, name string) string {
	return "/v1/" + string(kind) + "/" + url.PathEscape(name)
}
