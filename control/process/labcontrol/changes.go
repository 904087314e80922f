package labcontrol

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// HeaderOperator is the header that names the operator of a request. The HTTP server sets it from the operator's
// certificate.
const HeaderOperator = "Operator"

// Headers of a change request whose body is only the document. Without the change id header, the body is a
// changeRequest.
const (
	headerOperator    = HeaderOperator
	headerChangeID    = "Change-Id"
	headerBaseVersion = "Base-Version"
)

// changeRequest is a requested change of a configuration object. It is also the body of a request without the change id
// header.
type changeRequest struct {
	ChangeID    string          `json:"change_id"`
	Operator    string          `json:"operator"`
	BaseVersion uint64          `json:"base_version"`
	Document    json.RawMessage `json:"document"`
}

// changeResult is the response to a change. AcceptedVersion is the version of the newest accepted change.
type changeResult struct {
	labcatalog.ChangeResponse
	AcceptedVersion uint64 `json:"accepted_version"`
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, kind string) {
	cr, err := readChangeRequest(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})

		return
	}
	c := cr.toChange(kind, r.PathValue("name"))
	err = labcatalog.CheckName(c.Name)
	if err == nil && kind == labcatalog.KindTemplate {
		c.Template, err = labcatalog.ParseTemplate(cr.Document)
	} else if err == nil {
		c.Organisation, err = labcatalog.ParseOrganisation(cr.Document)
	}
	if err != nil {
		writeDocumentError(w, err)

		return
	}
	s.commitChange(w, r, c)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request, kind string) {
	cr, err := readChangeRequest(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})

		return
	}
	s.commitChange(w, r, cr.toChange(kind, r.PathValue("name")))
}

func (cr *changeRequest) toChange(kind, name string) *labcatalog.Change {
	return &labcatalog.Change{ID: cr.ChangeID, Operator: cr.Operator, Kind: kind, Name: name, BaseVersion: cr.BaseVersion}
}

// readChangeRequest reads a change from the headers and the body, or from the body alone.
func readChangeRequest(r *http.Request) (changeRequest, error) {
	var cr changeRequest
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return cr, errors.Newf("read body: %w", err)
	}
	if id := r.Header.Get(headerChangeID); id != "" {
		cr = changeRequest{ChangeID: id, Operator: r.Header.Get(headerOperator), Document: body}
		if cr.BaseVersion, err = strconv.ParseUint(r.Header.Get(headerBaseVersion), 10, 64); err != nil {
			return cr, errors.Newf("header %s must be the version that the change is based on, 0 for none", headerBaseVersion)
		}
	} else {
		d := json.NewDecoder(bytes.NewReader(body))
		d.DisallowUnknownFields()
		if err := d.Decode(&cr); err != nil {
			return cr, errors.Newf("read change: %w; accepted fields: change_id, operator, base_version, document", err)
		}
	}
	// The HTTP server sets this header from the operator's certificate, so it takes precedence over the body.
	if name := r.Header.Get(headerOperator); name != "" {
		cr.Operator = name
	}
	if cr.ChangeID == "" || cr.Operator == "" {
		return cr, errors.New("a change needs a change id and an operator")
	}

	return cr, nil
}

// commitChange commits a change and then responds with its outcome.
func (s *Server) commitChange(w http.ResponseWriter, r *http.Request, c *labcatalog.Change) {
	result, err := s.propose(r.Context(), &labcatalog.Command{Change: c})
	if err != nil {
		s.writeCommitError(w, err)

		return
	}
	if result.Response == nil {
		writeJSON(w, http.StatusInternalServerError, errorResponse{Error: "the change was committed without a result"})

		return
	}
	code := map[string]int{
		labcatalog.OutcomeAccepted: http.StatusOK, labcatalog.OutcomeConflict: http.StatusConflict,
		labcatalog.OutcomeRejected: http.StatusUnprocessableEntity,
	}[result.Response.Outcome]
	s.Logger.Info().Str("event", "configuration_change").Str("operator", c.Operator).Str("change_id", c.ID).
		Str("object", c.Kind+"/"+c.Name).Str("outcome", result.Response.Outcome).Uint64("version", result.Response.Version).Send()
	writeJSON(w, code, changeResult{ChangeResponse: *result.Response, AcceptedVersion: s.Catalog.Version()})
}

func writeDocumentError(w http.ResponseWriter, err error) {
	var v *labcatalog.ValidationError
	if errors.As(err, &v) {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: v.Error(), Problems: v.Problems})

		return
	}
	writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
}

func (s *Server) listObjects(w http.ResponseWriter, kind string) {
	names := s.Catalog.Templates()
	if kind == labcatalog.KindOrganisation {
		names = s.Catalog.Organisations()
	}
	writeJSON(w, http.StatusOK, struct {
		Names   []string `json:"names"`
		Version uint64   `json:"version"`
	}{names, s.Catalog.Version()})
}

func (s *Server) getObject(w http.ResponseWriter, kind, name string) {
	if kind == labcatalog.KindTemplate {
		t, ok := s.Catalog.Template(name)
		writeObject(w, t, ok && !t.Deleted, t.LastChange.Version)

		return
	}
	o, ok := s.Catalog.StoredOrganisation(name)
	merged, _ := s.Catalog.Organisation(name)
	writeObject(w, struct {
		labcatalog.Organisation
		Merged *lab.Organisation `json:"merged"`
	}{o, merged}, ok && !o.Deleted, o.LastChange.Version)
}

func writeObject(w http.ResponseWriter, object any, exists bool, version uint64) {
	if !exists {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no such object", Version: version})

		return
	}
	writeJSON(w, http.StatusOK, object)
}

// changeStatus reports which live proxies have applied a change.
type changeStatus struct {
	labcatalog.ChangeResponse
	Accepted     bool             `json:"accepted"`
	Active       bool             `json:"in_force"`  // accepted, and applied by all live proxies
	AppliedCount int              `json:"confirmed"` // number of live proxies that have applied the change
	Pending      []lab.InstanceID `json:"waiting"`   // live proxies that have not applied the change yet
}

func (s *Server) getChange(w http.ResponseWriter, r *http.Request, l *leadership) {
	response, known := s.Catalog.ResponseTo(r.PathValue("id"))
	if !known {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no such change, or too many changes followed it"})

		return
	}
	c := changeStatus{
		ChangeResponse: response, Accepted: response.Outcome == labcatalog.OutcomeAccepted, Pending: []lab.InstanceID{},
	}
	for _, p := range s.Catalog.Proxies() {
		if last := l.heartbeats.last(p.Instance.ID); last.incarnation == p.Instance.Incarnation &&
			last.appliedIndex >= response.Index {
			c.AppliedCount++
		} else {
			c.Pending = append(c.Pending, p.Instance.ID)
		}
	}
	c.Active = c.Accepted && len(c.Pending) == 0
	writeJSON(w, http.StatusOK, c)
}

func (s *Server) getAudit(w http.ResponseWriter, r *http.Request, _ *leadership) {
	after, limit := uint64(0), 100
	for name, parse := range map[string]func(string) error{
		"after": func(v string) (err error) { after, err = strconv.ParseUint(v, 10, 64); return err },
		"limit": func(v string) (err error) { limit, err = strconv.Atoi(v); return err },
	} {
		if v := r.URL.Query().Get(name); v != "" && parse(v) != nil {
			writeJSON(w, http.StatusBadRequest, errorResponse{Error: "query parameter " + name + " must be a number"})

			return
		}
	}
	body := struct {
		Intact  bool                     `json:"intact"`
		Records []labcatalog.AuditRecord `json:"records"`
	}{Intact: true, Records: s.Catalog.Audit(after, limit)}
	if err := s.Catalog.VerifyAudit(); err != nil {
		s.Logger.Error().Str("event", "audit_damaged").Err(err).Send()
		body.Intact = false
	}
	writeJSON(w, http.StatusOK, body)
}
