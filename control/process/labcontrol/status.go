package labcontrol

import (
	"net/http"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/lablease"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// Status is the response to GET /v1/status.
type Status struct {
	Leader          lab.InstanceID         `json:"leader"`
	ConsensusTerm   uint64                 `json:"consensus_term"`
	Index           uint64                 `json:"index"` // applied index of the leader
	AcceptedVersion uint64                 `json:"accepted_version"`
	Databases       []DatabaseStatus       `json:"databases"`
	Proxies         []ProxyStatus          `json:"proxies"`
	Leases          []lablease.ActiveGrant `json:"leases"`
	NowNS           time.Duration          `json:"now_ns"` // leader's current time, to compare with the expiry of Leases
}

// DatabaseStatus describes one database group.
type DatabaseStatus struct {
	lab.Database
	Term      lab.PrimaryTerm       `json:"term"`
	Promotion *labcatalog.Promotion `json:"promotion,omitempty"`
	Statuses  []MemberLag           `json:"statuses"`
}

// MemberLag is the last reported status of a member, with its replication lag.
type MemberLag struct {
	lab.MemberStatus
	LagBytes uint64 `json:"lag_bytes"` // bytes behind the primary's last reported WAL position
}

// ProxyStatus describes one live proxy.
type ProxyStatus struct {
	Instance      lab.Instance `json:"instance"`
	Draining      bool         `json:"draining"`
	GatewayRoles  int          `json:"duties"` // number of gateway roles
	AppliedIndex  uint64       `json:"confirmed_index"`
	ActiveVersion uint64       `json:"in_force_version"` // configuration version at AppliedIndex
	SilentMS      int64        `json:"silent_ms"`        // time since the last heartbeat; if none, since the election
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request, l *leadership) {
	writeJSON(w, http.StatusOK, s.buildStatus(l))
}

func (s *Server) buildStatus(l *leadership) Status {
	now := s.Clock.Now()
	status := Status{
		Leader: s.Self.ID, ConsensusTerm: l.term, Index: s.Catalog.Index(), AcceptedVersion: s.Catalog.Version(),
		Databases: []DatabaseStatus{}, Proxies: []ProxyStatus{}, Leases: l.leases.ActiveGrants(now), NowNS: now,
	}
	for _, n := range s.Catalog.Databases() {
		status.Databases = append(status.Databases, s.databaseStatus(l, n))
	}
	for _, p := range s.Catalog.Proxies() {
		last := l.heartbeats.last(p.Instance.ID)
		status.Proxies = append(status.Proxies, ProxyStatus{
			Instance: p.Instance, Draining: p.Draining, GatewayRoles: len(s.Catalog.GatewayRoles(p.Instance.ID)),
			AppliedIndex: last.appliedIndex, ActiveVersion: s.Catalog.VersionAt(last.appliedIndex),
			SilentMS: (now - max(last.receivedAt, l.startedAt)).Milliseconds(),
		})
	}

	return status
}

func (s *Server) databaseStatus(l *leadership, name string) DatabaseStatus {
	d, _ := s.Catalog.Database(name)
	status := DatabaseStatus{Database: *d, Term: d.CurrentTerm(), Statuses: []MemberLag{}}
	if p, running := s.Catalog.Promotion(name); running {
		status.Promotion = &p
	}
	statuses := l.promoter.Statuses(name)
	primaryOffset := statuses[d.Primary].Received.Offset
	for _, m := range d.Members {
		if observed, known := statuses[m.Member]; known {
			lag := MemberLag{MemberStatus: observed}
			if primaryOffset > observed.Received.Offset {
				lag.LagBytes = primaryOffset - observed.Received.Offset
			}
			status.Statuses = append(status.Statuses, lag)
		}
	}

	return status
}
