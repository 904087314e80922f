package labcontrol

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
	"laburnumlock.dev/lab/process/labannounce"
)

const (
	// barrierTimeout bounds how long an operator's request waits until a quorum confirms this leader.
	barrierTimeout = 2 * time.Second
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 1 << 20
)

// Handler returns the operators' HTTP API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	for _, k := range []string{labcatalog.KindTemplate, labcatalog.KindOrganisation} {
		m.HandleFunc("GET /v1/"+k+"s", s.leaderOnly(func(w http.ResponseWriter, _ *http.Request, _ *leadership) {
			s.listObjects(w, k)
		}))
		m.HandleFunc("GET /v1/"+k+"s/{name}", s.leaderOnly(func(w http.ResponseWriter, r *http.Request, _ *leadership) {
			s.getObject(w, k, r.PathValue("name"))
		}))
		m.HandleFunc("PUT /v1/"+k+"s/{name}", s.leaderOnly(func(w http.ResponseWriter, r *http.Request, _ *leadership) {
			s.putObject(w, r, k)
		}))
		m.HandleFunc("DELETE /v1/"+k+"s/{name}", s.leaderOnly(func(w http.ResponseWriter, r *http.Request, _ *leadership) {
			s.deleteObject(w, r, k)
		}))
	}
	m.HandleFunc("GET /v1/status", s.leaderOnly(s.getStatus))
	m.HandleFunc("GET /v1/audit", s.leaderOnly(s.getAudit))
	m.HandleFunc("GET /v1/changes/{id}", s.leaderOnly(s.getChange))
	m.HandleFunc("POST /v1/instances/{id}/drain", s.leaderOnly(s.drainProxy))
	m.HandleFunc("GET /v1/control", s.leaderOnly(s.listControl))
	m.HandleFunc("POST /v1/control/{id}", s.leaderOnly(s.addControl))
	m.HandleFunc("DELETE /v1/control/{id}", s.leaderOnly(s.removeControl))
	m.HandleFunc("POST /v1/announcements", s.leaderOnly(s.recordAnnouncement))

	return m
}

// errorResponse is the JSON body of a response that reports an error.
type errorResponse struct {
	Error    string               `json:"error"`
	Problems []labcatalog.Problem `json:"problems,omitempty"`
	Version  uint64               `json:"version,omitempty"` // version of the change that deleted the object
}

// leaderOnly redirects requests to the leader. The leader runs a request only after a quorum has confirmed its
// leadership, so that an isolated instance never presents outdated data as current.
func (s *Server) leaderOnly(run func(http.ResponseWriter, *http.Request, *leadership)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.currentLeadership() == nil {
			s.redirectToLeader(w, r)

			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), barrierTimeout)
		defer cancel()
		err := s.Log.Barrier(ctx)
		l := s.currentLeadership()
		if err != nil || l == nil {
			s.Logger.Warn().Str("event", "request_refused").Str("path", r.URL.Path).AnErr("cause", err).Send()
			writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "this instance has no quorum"})

			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		run(w, r, l)
	}
}

func (s *Server) redirectToLeader(w http.ResponseWriter, r *http.Request) {
	leader := s.Log.Leadership().Leader
	base, known := s.operatorURL(leader)
	if !known || leader == s.Self.ID {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "no leader is known"})

		return
	}
	http.Redirect(w, r, base+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "response can't be encoded", http.StatusInternalServerError)

		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(data, '\n'))
}

// writeCommitError responds to a request whose command was not committed or has an unknown outcome.
func (s *Server) writeCommitError(w http.ResponseWriter, err error) {
	s.Logger.Warn().Str("event", "request_failed").Err(err).Send()
	if errors.Is(err, lab.ErrNotLeader) {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{
			Error: "not accepted: this instance is no longer the leader",
		})

		return
	}
	writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "outcome unknown: send the same change id again"})
}

// drainProxy marks a proxy as draining, so that its gateway roles move to other proxies.
func (s *Server) drainProxy(w http.ResponseWriter, r *http.Request, _ *leadership) {
	id := lab.InstanceID(r.PathValue("id"))
	if _, live := s.Catalog.Instance(id); !live {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no such instance"})

		return
	}
	_, err := s.propose(r.Context(), &labcatalog.Command{
		DrainingProxies: []lab.InstanceID{id},
		OperatorAction: &labcatalog.OperatorAction{
			Operator: r.Header.Get(headerOperator), Action: "drain", Object: "instance/" + string(id),
		},
	})
	if err != nil {
		s.writeCommitError(w, err)

		return
	}
	writeJSON(w, http.StatusOK, struct {
		Instance lab.InstanceID `json:"instance"`
		Draining bool           `json:"draining"`
	}{id, true})
}

// recordAnnouncement commits an upstream's announcement if it would change the catalog.
func (s *Server) recordAnnouncement(w http.ResponseWriter, r *http.Request, _ *leadership) {
	a, err := labannounce.Read(w, r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})

		return
	}
	if s.Catalog.WouldChange(a) {
		if _, err := s.propose(r.Context(), &labcatalog.Command{Announcements: []lab.Announcement{a}}); err != nil {
			s.writeCommitError(w, err)

			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
