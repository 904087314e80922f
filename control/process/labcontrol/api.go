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
	// requestTimeout bounds the confirmation of leadership for an operator's request.
	requestTimeout = 2 * time.Second
	// bodyLimit bounds a request's body in bytes.
	bodyLimit = 1 << 20
)

// Handler returns the operators' HTTP API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	for _, k := range []string{labcatalog.KindTemplate, labcatalog.KindOrganisation} {
		m.HandleFunc("GET /v1/"+k+"s", s.leaderOnly(func(w http.ResponseWriter, _ *http.Request, _ *leadership) { s.list(w, k) }))
		m.HandleFunc("GET /v1/"+k+"s/{name}", s.leaderOnly(func(w http.ResponseWriter, r *http.Request, _ *leadership) {
			s.get(w, k, r.PathValue("name"))
		}))
		m.HandleFunc("PUT /v1/"+k+"s/{name}", s.leaderOnly(func(w http.ResponseWriter, r *http.Request, _ *leadership) {
			s.put(w, r, k)
		}))
		m.HandleFunc("DELETE /v1/"+k+"s/{name}", s.leaderOnly(func(w http.ResponseWriter, r *http.Request, _ *leadership) {
			s.remove(w, r, k)
		}))
	}
	m.HandleFunc("GET /v1/status", s.leaderOnly(s.status))
	m.HandleFunc("GET /v1/audit", s.leaderOnly(s.audit))
	m.HandleFunc("GET /v1/changes/{id}", s.leaderOnly(s.change))
	m.HandleFunc("POST /v1/instances/{id}/drain", s.leaderOnly(s.drain))
	m.HandleFunc("GET /v1/control", s.leaderOnly(s.listControl))
	m.HandleFunc("POST /v1/control/{id}", s.leaderOnly(s.addControl))
	m.HandleFunc("DELETE /v1/control/{id}", s.leaderOnly(s.removeControl))
	m.HandleFunc("POST /v1/announcements", s.leaderOnly(s.announce))

	return m
}

// failure is the JSON body of an answer that reports an error.
type failure struct {
	Error    string               `json:"error"`
	Problems []labcatalog.Problem `json:"problems,omitempty"`
	Version  uint64               `json:"version,omitempty"` // of a deleted object
}

// leaderOnly sends requests on to the leader, and runs them here only when a quorum has just confirmed this leader, so
// that an isolated instance never presents outdated data as current.
func (s *Server) leaderOnly(run func(http.ResponseWriter, *http.Request, *leadership)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.leading() == nil {
			s.redirect(w, r)

			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		err := s.Log.Barrier(ctx)
		l := s.leading()
		if err != nil || l == nil {
			s.Logger.Warn().Str("event", "request_refused").Str("path", r.URL.Path).AnErr("cause", err).Send()
			reply(w, http.StatusServiceUnavailable, failure{Error: "this instance has no quorum"})

			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit)
		run(w, r, l)
	}
}

func (s *Server) redirect(w http.ResponseWriter, r *http.Request) {
	leader := s.Log.Leadership().Leader
	base, known := s.operatorBase(leader)
	if !known || leader == s.Self.ID {
		reply(w, http.StatusServiceUnavailable, failure{Error: "no leader is known"})

		return
	}
	http.Redirect(w, r, base+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

func reply(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "answer can't be encoded", http.StatusInternalServerError)

		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(data, '\n'))
}

// replyFailed answers a request whose command was not, or not certainly, committed.
func (s *Server) replyFailed(w http.ResponseWriter, err error) {
	s.Logger.Warn().Str("event", "request_failed").Err(err).Send()
	if errors.Is(err, lab.ErrNotLeader) {
		reply(w, http.StatusServiceUnavailable, failure{Error: "not accepted: this instance doesn't lead any more"})

		return
	}
	reply(w, http.StatusServiceUnavailable, failure{Error: "outcome unknown: send the same change id again"})
}

// drain makes an instance give up its duties.
func (s *Server) drain(w http.ResponseWriter, r *http.Request, _ *leadership) {
	id := lab.InstanceID(r.PathValue("id"))
	if _, live := s.Catalog.Instance(id); !live {
		reply(w, http.StatusNotFound, failure{Error: "no such instance"})

		return
	}
	_, err := s.propose(r.Context(), &labcatalog.Command{
		DrainingProxies: []lab.InstanceID{id},
		OperatorAction:  &labcatalog.OperatorAction{Operator: r.Header.Get(headerOperator), Action: "drain", Object: "instance/" + string(id)},
	})
	if err != nil {
		s.replyFailed(w, err)

		return
	}
	reply(w, http.StatusOK, struct {
		Instance lab.InstanceID `json:"instance"`
		Draining bool           `json:"draining"`
	}{id, true})
}

// announce takes in what an upstream says about itself.
func (s *Server) announce(w http.ResponseWriter, r *http.Request, _ *leadership) {
	a, err := labannounce.Read(w, r)
	if err != nil {
		reply(w, http.StatusBadRequest, failure{Error: err.Error()})

		return
	}
	if s.Catalog.WouldChange(a) {
		if _, err := s.propose(r.Context(), &labcatalog.Command{Announcements: []lab.Announcement{a}}); err != nil {
			s.replyFailed(w, err)

			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
