package labcontrol

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
	"laburnumlock.dev/lab/process/labannounce"
)

// Handler returns the operators' HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/templates/{name}", func(w http.ResponseWriter, r *http.Request) {
		c := &labcatalog.Change{Kind: labcatalog.KindTemplate, Template: &labcatalog.TemplateDocument{}}
		s.put(w, r, c, c.Template)
	})
	mux.HandleFunc("PUT /v1/organisations/{name}", func(w http.ResponseWriter, r *http.Request) {
		c := &labcatalog.Change{Kind: labcatalog.KindOrganisation, Organisation: &labcatalog.OrganisationDocument{}}
		s.put(w, r, c, c.Organisation)
	})
	mux.Handle("POST /v1/announcements", labannounce.Handler(func(ctx context.Context, a lab.Announcement) error {
		_, err := s.propose(ctx, &labcatalog.Command{Members: []lab.Announcement{a}})

		return err
	}))

	return mux
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, c *labcatalog.Change, document any) {
	c.Name, c.ID, c.Operator = r.PathValue("name"), r.PathValue("name"), "operator"

	if err := json.NewDecoder(r.Body).Decode(document); err != nil {
		http.Error(w, errors.Newf("decode document: %w", err).Error(), http.StatusBadRequest)

		return
	}

	result, err := s.propose(r.Context(), &labcatalog.Command{Change: c})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result.Answer) // the operator may have gone and asks again with the same change id
}
