package labcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/lablease"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// MethodHeartbeatBatch is the method with which a relay sends a batch of heartbeats to the leader.
const MethodHeartbeatBatch lab.Method = "heartbeat_batch"

// HeartbeatBatch holds the heartbeats of several proxies that a relay sends to the leader in one message.
type HeartbeatBatch struct {
	Heartbeats []lab.Heartbeat `msgpack:"h"`
}

// HeartbeatBatchResponse is the response to a batch. The Delta fields of Responses are empty, because several responses
// share each element of Deltas.
type HeartbeatBatchResponse struct {
	Responses    []lab.HeartbeatResponse `msgpack:"a"` // one for each heartbeat, in the order of the batch
	Deltas       []lab.CatalogDelta      `msgpack:"d"` // one for each distinct applied index in the batch
	DeltaIndexes []int                   `msgpack:"c"` // index into Deltas for each response
}

// HandleHeartbeat responds to a proxy's heartbeat. An instance that doesn't lead forwards the heartbeat to the leader.
func (s *Server) HandleHeartbeat(
	ctx context.Context, from lab.InstanceID, h lab.Heartbeat,
) (lab.HeartbeatResponse, error) {
	if from != h.Instance.ID {
		return lab.HeartbeatResponse{}, errors.Newf("heartbeat of %s sent by %s", h.Instance.ID, from)
	}
	if s.currentLeadership() == nil {
		return s.relay.forward(ctx, s, h)
	}
	response, err := s.HandleHeartbeatBatch(ctx, s.Self.ID, HeartbeatBatch{Heartbeats: []lab.Heartbeat{h}})
	if err != nil {
		return lab.HeartbeatResponse{}, err
	}

	return response.responseAt(0), nil
}

// responseAt returns the response to the heartbeat at an index of the batch, with its delta.
func (r *HeartbeatBatchResponse) responseAt(i int) lab.HeartbeatResponse {
	response := r.Responses[i]
	response.Delta = r.Deltas[r.DeltaIndexes[i]]

	return response
}

// HandleHeartbeatBatch responds to a batch from a relay, which must be a control instance. It fails with
// lab.ErrNotLeader when this instance doesn't lead.
func (s *Server) HandleHeartbeatBatch(
	ctx context.Context, from lab.InstanceID, batch HeartbeatBatch,
) (HeartbeatBatchResponse, error) {
	if _, control := s.ControlAddress(from); !control && from != s.Self.ID {
		return HeartbeatBatchResponse{}, errors.Newf("batch of heartbeats sent by %s, which is no control instance", from)
	}
	if s.currentLeadership() == nil {
		return HeartbeatBatchResponse{}, errors.Newf("handle heartbeats: %w", lab.ErrNotLeader)
	}
	if err := s.Log.Barrier(ctx); err != nil {
		return HeartbeatBatchResponse{}, errors.Newf("handle heartbeats: %w", err)
	}
	l := s.currentLeadership()
	if l == nil {
		return HeartbeatBatchResponse{}, errors.Newf("handle heartbeats: %w", lab.ErrNotLeader)
	}
	if err := s.commitReports(ctx, batch.Heartbeats); err != nil {
		return HeartbeatBatchResponse{}, errors.Newf("handle heartbeats: %w", err)
	}
	var response HeartbeatBatchResponse
	deltaIndexes := map[uint64]int{}
	for i := range batch.Heartbeats {
		h := &batch.Heartbeats[i]
		index, known := deltaIndexes[h.AppliedIndex]
		if !known {
			index = len(response.Deltas)
			deltaIndexes[h.AppliedIndex] = index
			response.Deltas = append(response.Deltas, s.Catalog.Delta(h.AppliedIndex))
		}
		response.DeltaIndexes = append(response.DeltaIndexes, index)
		response.Responses = append(response.Responses, s.renewLease(l, h))
	}

	return response, nil
}

// commitReports commits what the heartbeats contain and the catalog lacks: new proxies, drain requests and
// announcements.
func (s *Server) commitReports(ctx context.Context, heartbeats []lab.Heartbeat) error {
	var command labcatalog.Command
	for i := range heartbeats {
		h := &heartbeats[i]
		known, live := s.Catalog.Instance(h.Instance.ID)
		if h.Instance.Incarnation > known.Incarnation || (!live && h.Instance.Incarnation == known.Incarnation) {
			command.JoinedProxies = append(command.JoinedProxies, h.Instance)
		}
		if h.Draining && h.Instance.Incarnation >= known.Incarnation && !s.Catalog.Draining(h.Instance.ID) {
			command.DrainingProxies = append(command.DrainingProxies, h.Instance.ID)
		}
		for _, a := range h.Announcements {
			if a.Validate() == nil && s.Catalog.WouldChange(a) {
				command.Announcements = append(command.Announcements, a)
			}
		}
	}
	if command.JoinedProxies == nil && command.Announcements == nil && command.DrainingProxies == nil {
		return nil
	}
	if _, err := s.propose(ctx, &command); err != nil {
		return errors.Newf("commit reports of heartbeats: %w", err)
	}

	return nil
}

// changePending reports whether a proxy should send its next heartbeat early. That is the case while the proxy holds
// other grants than the leader allows, while it waits for the grant of a gateway role, and while a promotion of one of
// its databases runs or is about to start.
func (s *Server) changePending(l *leadership, now time.Duration, h *lab.Heartbeat, grants []lab.Grant) bool {
	if len(grants) != len(h.Grants) || len(grants) != len(s.Catalog.GatewayRoles(h.Instance.ID)) {
		return true
	}
	for _, g := range grants {
		if l.promoter.Pending(now, g.Role.Database) || !slices.Contains(h.Grants, g) {
			return true
		}
	}

	return false
}

// renewLease renews the lease of the proxy that sent the heartbeat. A heartbeat of an earlier incarnation, or one that
// arrives out of order, renews nothing.
func (s *Server) renewLease(l *leadership, h *lab.Heartbeat) lab.HeartbeatResponse {
	response := lab.HeartbeatResponse{RequestID: h.RequestID, LeaderTerm: l.term}
	known, live := s.Catalog.Instance(h.Instance.ID)
	if !live || known != h.Instance {
		return response
	}
	now := s.Clock.Now()
	l.heartbeats.record(now, h)
	grants, current := l.leases.Renew(now, h, s.Catalog.GatewayRoles(h.Instance.ID),
		func(role lab.GatewayRole) (lablease.AllowedGrant, bool) {
			g, first, ok := s.Catalog.AllowedGrant(h.Instance, role)

			return lablease.AllowedGrant{Grant: g, FirstHolder: first}, ok
		})
	if !current {
		return response
	}
	for _, m := range h.Statuses {
		l.promoter.Observe(now, h.Instance.ID, m)
	}
	response.TTL, response.Grants = lablease.TTL, grants
	if s.changePending(l, now, h, grants) || s.Catalog.Index() > h.AppliedIndex {
		response.NextDelay = PendingDelay
	}

	return response
}
