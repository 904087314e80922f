package labcontrol_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const template = `{"parameters": {"weight": 3}}`

// request sends a request to the leader, checks the status code and decodes the response.
func (e *environment) request(
	code int, response any, method, path, body string, headers ...string,
) *httptest.ResponseRecorder {
	e.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	out := httptest.NewRecorder()
	e.leader().Handler().ServeHTTP(out, r)
	assert.Equal(e.t, out.Code, code, "%s", out.Body)
	if response != nil {
		assert.NilError(e.t, json.Unmarshal(out.Body.Bytes(), response))
	}

	return out
}

func changeHeaders(id, operator string, base uint64) []string {
	return []string{"Change-Id", id, "Operator", operator, "Base-Version", fmt.Sprint(base)}
}

type changeResponse struct {
	labcatalog.ChangeResponse
	AcceptedVersion uint64                   `json:"accepted_version"`
	Active          bool                     `json:"in_force"`
	Problems        []problem                `json:"problems"`
	Error           string                   `json:"error"`
	Pending         []string                 `json:"waiting"`
	Intact          bool                     `json:"intact"`
	Document        struct{}                 `json:"document"`
	Changed         labcatalog.ChangeInfo    `json:"changed"`
	Records         []labcatalog.AuditRecord `json:"records"`
}

type problem struct{ Path, Accepted string }

// Guards against operators overwriting each other's changes and against changes that are applied twice.
func TestOperators(t *testing.T) {
	t.Run("racing on one base", func(t *testing.T) {
		e := newEnvironment(t)
		const count = 8
		outcomes, group := make([]changeResponse, count), sync.WaitGroup{}
		for i := range count {
			group.Go(func() {
				r := httptest.NewRequest(http.MethodPut, "/v1/templates/small", strings.NewReader(template))
				for j, h := 0, changeHeaders(fmt.Sprintf("c%d", i), fmt.Sprintf("operator-%d", i), 0); j < len(h); j += 2 {
					r.Header.Set(h[j], h[j+1])
				}
				out := httptest.NewRecorder()
				e.leader().Handler().ServeHTTP(out, r)
				assert.Check(t, json.Unmarshal(out.Body.Bytes(), &outcomes[i]))
			})
		}
		group.Wait()
		var winner changeResponse
		for _, a := range outcomes {
			if a.Outcome == labcatalog.OutcomeAccepted {
				assert.Equal(t, winner.ChangeID, "", "two winners")
				winner = a
			}
		}
		for _, a := range outcomes {
			if a.Outcome != labcatalog.OutcomeAccepted {
				assert.Equal(t, a.Winner.ChangeID, winner.ChangeID)
				assert.Equal(t, a.Winner.Version, winner.Version)
			}
		}
	})
	t.Run("repeated after a lost response", func(t *testing.T) {
		e := newEnvironment(t)
		e.log.loseResponse = true
		var a changeResponse
		e.request(http.StatusServiceUnavailable, &a, "PUT", "/v1/templates/small", template, changeHeaders("c1", "aino", 0)...)
		assert.Assert(t, strings.Contains(a.Error, "outcome unknown"))
		e.request(http.StatusOK, &a, "PUT", "/v1/templates/small", template, changeHeaders("c1", "aino", 0)...)
		assert.Equal(t, a.Version, uint64(1))
		assert.Equal(t, a.AcceptedVersion, uint64(1))
	})
	t.Run("active once every live proxy has applied it", func(t *testing.T) {
		e := newEnvironment(t)
		e.run(2 * time.Second)
		var a changeResponse
		body := `{"change_id": "c1", "operator": "aino", "base_version": 0, "document": ` + template + `}`
		e.request(http.StatusOK, nil, "PUT", "/v1/templates/small", body)
		e.request(http.StatusOK, &a, "GET", "/v1/changes/c1", "")
		assert.Equal(t, a.Active, false)
		assert.Equal(t, len(a.Pending), 3)
		took := e.runUntil(5*time.Second, func() bool {
			e.request(http.StatusOK, &a, "GET", "/v1/changes/c1", "")

			return a.Active
		})
		t.Logf("active at all proxies after %v", took)
		assert.Assert(t, a.Active)
	})
	t.Run("invalid documents", func(t *testing.T) {
		e := newEnvironment(t)
		var a changeResponse
		e.request(http.StatusBadRequest, &a, "PUT", "/v1/templates/small", `{"parameters": {"leave_grace_ms": 6000}}`,
			changeHeaders("c1", "aino", 0)...)
		assert.DeepEqual(t, a.Problems, []problem{{"$.parameters.leave_grace_ms", "0 to 5000"}})
		e.request(http.StatusBadRequest, nil, "PUT", "/v1/templates/small", `{"document": {}, "base": 1}`)
		e.request(http.StatusBadRequest, nil, "PUT", "/v1/templates/small", template, "Change-Id", "c1", "Operator", "aino")
	})
	t.Run("read, delete, audit", func(t *testing.T) {
		e := newEnvironment(t)
		var a changeResponse
		e.request(http.StatusOK, nil, "PUT", "/v1/templates/small", template, changeHeaders("c1", "aino", 0)...)
		e.request(http.StatusOK, &a, "GET", "/v1/templates/small", "")
		assert.Equal(t, a.Changed, labcatalog.ChangeInfo{Operator: "aino", ChangeID: "c1", Version: 1})
		e.request(http.StatusConflict, nil, "DELETE", "/v1/templates/small", "", changeHeaders("c2", "eero", 0)...)
		e.request(http.StatusOK, nil, "DELETE", "/v1/templates/small", "", changeHeaders("c3", "eero", 1)...)
		e.request(http.StatusNotFound, nil, "GET", "/v1/templates/small", "")
		e.request(http.StatusNotFound, nil, "GET", "/v1/changes/c9", "")
		e.request(http.StatusOK, &a, "GET", "/v1/audit?limit=2", "")
		assert.Equal(t, len(a.Records), 2)
		assert.Assert(t, a.Intact)
	})
}

// Guards against outdated data from an instance that doesn't lead or has no quorum.
func TestNotLeading(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	out := httptest.NewRecorder()
	e.servers["control-2"].Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/v1/audit?after=1", nil))
	assert.Equal(t, out.Code, http.StatusTemporaryRedirect)
	assert.Equal(t, out.Header().Get("Location"), "http://control-1/v1/audit?after=1")
	e.log.isolate()
	for _, path := range []string{"/v1/status", "/v1/templates/small", "/v1/organisations", "/v1/changes/c1"} {
		e.request(http.StatusServiceUnavailable, nil, "GET", path, "")
	}
	e.log.elect("", e.clock.Now())
	out = httptest.NewRecorder()
	e.servers["control-2"].Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
	assert.Equal(t, out.Code, http.StatusServiceUnavailable, "no leader is known")
}

// Guards against a status that lacks data which operators need, and against drain requests and announcements over HTTP
// that have no effect.
func TestStatus(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	e.request(http.StatusOK, nil, "PUT", "/v1/templates/small", template, changeHeaders("c1", "aino", 0)...)
	e.request(http.StatusNoContent, nil, "POST", "/v1/announcements",
		`{"database": "rota-core-2", "member": "m1", "address": "127.0.0.1:1", "region": "gulf-coast", `+
			`"availability_zone": "hanko", "incarnation": 1, "slots": 3, "connections": 24}`)
	e.request(http.StatusBadRequest, nil, "POST", "/v1/announcements",
		`{"database": "rota-core-2", "member": "m1", "address": "127.0.0.1:1", "region": "gulf-coast", "incarnation": 1}`)
	e.request(http.StatusBadRequest, nil, "POST", "/v1/announcements", `{"database": "rota-core-2", "slot": 1}`)
	e.request(http.StatusNotFound, nil, "POST", "/v1/instances/proxy-x/drain", "")
	h, _ := e.writer()
	e.request(http.StatusOK, nil, "POST", "/v1/instances/"+string(h.Instance.ID)+"/drain", "", "Operator", "aino")
	e.run(6 * time.Second)
	var s labcontrol.Status
	e.request(http.StatusOK, &s, "GET", "/v1/status", "")
	assert.Equal(t, s.AcceptedVersion, uint64(1))
	assert.Equal(t, len(s.Proxies), 3)
	for _, p := range s.Proxies {
		assert.Equal(t, p.ActiveVersion, uint64(1))
		assert.Equal(t, p.Draining, p.Instance.ID == h.Instance.ID)
		assert.Equal(t, p.GatewayRoles > 0, p.Instance.ID != h.Instance.ID)
	}
	assert.Equal(t, len(s.Databases), 2)
	assert.Equal(t, s.Databases[0].Primary, "m-hanko")
	assert.Equal(t, len(s.Leases) > 0, true)
}
