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

// HeaderOperator names the operator; whoever serves the API sets it from the operator's certificate.
const HeaderOperator = "Operator"

// Headers that carry what a change needs besides the document; without them the body is an envelope.
const (
	headerOperator = HeaderOperator
	headerChangeID = "Change-Id"
	headerBase     = "Base-Version"
)

// envelope is the body of a change whose headers don't carry the change id.
type envelope struct {
	ChangeID string          `json:"change_id"`
	Operator string          `json:"operator"`
	Base     uint64          `json:"base_version"`
	Document json.RawMessage `json:"document"`
}

// accepted answers a change together with the configuration version in force at control.
type accepted struct {
	labcatalog.ChangeResponse
	AcceptedVersion uint64 `json:"accepted_version"`
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, kind string) {
	e, err := readEnvelope(r)
	if err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error()})

		return
	}
	c := e.change(kind, r.PathValue("name"))
	err = labcatalog.CheckName(c.Name)
	if err == nil && kind == labcatalog.KindTemplate {
		c.Template, err = labcatalog.ParseTemplate(e.Document)
	} else if err == nil {
		c.Organisation, err = labcatalog.ParseOrganisation(e.Document)
	}
	if err != nil {
		replyInvalid(w, err)

		return
	}
	s.commit(w, r, c)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, kind string) {
	e, err := readEnvelope(r)
	if err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error()})

		return
	}
	s.commit(w, r, e.change(kind, r.PathValue("name")))
}

func (e *envelope) change(kind, name string) *labcatalog.Change {
	return &labcatalog.Change{ID: e.ChangeID, Operator: e.Operator, Kind: kind, Name: name, BaseVersion: e.Base}
}

// readEnvelope reads a change from headers and body, or from the body alone.
func readEnvelope(r *http.Request) (envelope, error) {
	var e envelope
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return e, errors.Newf("read body: %w", err)
	}
	if id := r.Header.Get(headerChangeID); id != "" {
		e = envelope{ChangeID: id, Operator: r.Header.Get(headerOperator), Document: body}
		if e.Base, err = strconv.ParseUint(r.Header.Get(headerBase), 10, 64); err != nil {
			return e, errors.Newf("header %s must be the version that the change is based on, 0 for none", headerBase)
		}
	} else {
		d := json.NewDecoder(bytes.NewReader(body))
		d.DisallowUnknownFields()
		if err := d.Decode(&e); err != nil {
			return e, errors.Newf("read change: %w; accepted: change_id, operator, base_version, document", err)
		}
	}
	// The server sets the header from the operator's certificate, which goes before the body.
	if name := r.Header.Get(headerOperator); name != "" {
		e.Operator = name
	}
	if e.ChangeID == "" || e.Operator == "" {
		return e, errors.New("a change needs a change id and an operator")
	}

	return e, nil
}

// commit answers only once the change is committed.
func (s *Server) commit(w http.ResponseWriter, r *http.Request, c *labcatalog.Change) {
	result, err := s.propose(r.Context(), &labcatalog.Command{Change: c})
	if err != nil {
		s.replyFailed(w, err)

		return
	}
	if result.Response == nil {
		reply(w, http.StatusInternalServerError, failure{Error: "the change was committed without an answer"})

		return
	}
	code := map[string]int{
		labcatalog.OutcomeAccepted: http.StatusOK, labcatalog.OutcomeConflict: http.StatusConflict,
		labcatalog.OutcomeRejected: http.StatusUnprocessableEntity,
	}[result.Response.Outcome]
	s.Logger.Info().Str("event", "configuration_change").Str("operator", c.Operator).Str("change_id", c.ID).
		Str("object", c.Kind+"/"+c.Name).Str("outcome", result.Response.Outcome).Uint64("version", result.Response.Version).Send()
	reply(w, code, accepted{ChangeResponse: *result.Response, AcceptedVersion: s.Catalog.Version()})
}

func replyInvalid(w http.ResponseWriter, err error) {
	var v *labcatalog.ValidationError
	if errors.As(err, &v) {
		reply(w, http.StatusBadRequest, failure{Error: v.Error(), Problems: v.Problems})

		return
	}
	reply(w, http.StatusBadRequest, failure{Error: err.Error()})
}

func (s *Server) list(w http.ResponseWriter, kind string) {
	names := s.Catalog.Templates()
	if kind == labcatalog.KindOrganisation {
		names = s.Catalog.Organisations()
	}
	reply(w, http.StatusOK, struct {
		Names   []string `json:"names"`
		Version uint64   `json:"version"`
	}{names, s.Catalog.Version()})
}

func (s *Server) get(w http.ResponseWriter, kind, name string) {
	if kind == labcatalog.KindTemplate {
		t, ok := s.Catalog.Template(name)
		replyObject(w, t, ok && !t.Deleted, t.LastChange.Version)

		return
	}
	o, ok := s.Catalog.StoredOrganisation(name)
	merged, _ := s.Catalog.Organisation(name)
	replyObject(w, struct {
		labcatalog.Organisation
		Merged *lab.Organisation `json:"merged"`
	}{o, merged}, ok && !o.Deleted, o.LastChange.Version)
}

func replyObject(w http.ResponseWriter, object any, exists bool, version uint64) {
	if !exists {
		reply(w, http.StatusNotFound, failure{Error: "no such object", Version: version})

		return
	}
	reply(w, http.StatusOK, object)
}

// changeStatus tells where a change is in force.
type changeStatus struct {
	labcatalog.ChangeResponse
	Accepted  bool             `json:"accepted"`
	InForce   bool             `json:"in_force"` // confirmed by all live proxies
	Confirmed int              `json:"confirmed"`
	Waiting   []lab.InstanceID `json:"waiting"` // live proxies that have not confirmed it yet
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, l *leadership) {
	answer, known := s.Catalog.ResponseTo(r.PathValue("id"))
	if !known {
		reply(w, http.StatusNotFound, failure{Error: "no such change, or too many changes followed it"})

		return
	}
	c := changeStatus{ChangeResponse: answer, Accepted: answer.Outcome == labcatalog.OutcomeAccepted, Waiting: []lab.InstanceID{}}
	for _, p := range s.Catalog.Proxies() {
		if k := l.contacts.last(p.Instance.ID); k.incarnation == p.Instance.Incarnation && k.confirmed >= answer.Index {
			c.Confirmed++
		} else {
			c.Waiting = append(c.Waiting, p.Instance.ID)
		}
	}
	c.InForce = c.Accepted && len(c.Waiting) == 0
	reply(w, http.StatusOK, c)
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request, _ *leadership) {
	after, limit := uint64(0), 100
	for name, parse := range map[string]func(string) error{
		"after": func(v string) (err error) { after, err = strconv.ParseUint(v, 10, 64); return err },
		"limit": func(v string) (err error) { limit, err = strconv.Atoi(v); return err },
	} {
		if v := r.URL.Query().Get(name); v != "" && parse(v) != nil {
			reply(w, http.StatusBadRequest, failure{Error: "query parameter " + name + " must be a number"})

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
	reply(w, http.StatusOK, body)
}
