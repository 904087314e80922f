package labcontrol

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// membershipTimeout bounds a request that changes the membership. It is shorter than the operator client's timeout of
// 5 s.
const membershipTimeout = 3500 * time.Millisecond

// Group reads and changes the membership of the control group.
type Group interface {
	// Membership returns the voters and learners.
	Membership() labreplica.Membership
	// AppliedIndex returns the log index up to which this instance has applied the replicated log.
	AppliedIndex() uint64
	// AddLearner adds an instance that receives the replicated log but has no vote.
	AddLearner(ctx context.Context, id lab.InstanceID) error
	// Promote makes a learner a voter once it has caught up.
	Promote(ctx context.Context, id lab.InstanceID) error
	// Remove removes an instance. It fails with labreplica.ErrUnsafeChange when too few voters are reachable.
	Remove(ctx context.Context, id lab.InstanceID) error
}

// ControlGroup is the response to GET /v1/control.
type ControlGroup struct {
	Leader       lab.InstanceID   `json:"leader"`
	Voters       []lab.InstanceID `json:"voters"`
	Learners     []lab.InstanceID `json:"learners"`
	AppliedIndex uint64           `json:"applied_index"`
}

// controlAddresses is the body of POST /v1/control/{id}.
type controlAddresses struct {
	ProcessAddress  string `json:"process_address"`
	OperatorAddress string `json:"operator_address"`
}

// ControlAddress returns the transport address of a control instance, or false if it is unknown or was removed.
func (s *Server) ControlAddress(id lab.InstanceID) (string, bool) {
	if i, found := s.Catalog.ControlInstance(id); found {
		return i.ProcessAddress, !i.Removed
	}
	a, ok := s.Addresses[id]

	return a, ok
}

func (s *Server) operatorURL(id lab.InstanceID) (string, bool) {
	if i, found := s.Catalog.ControlInstance(id); found {
		return "https://" + i.OperatorAddress, !i.Removed
	}
	a, ok := s.OperatorURLs[id]

	return a, ok
}

func (s *Server) listControl(w http.ResponseWriter, _ *http.Request, _ *leadership) {
	s.writeControlGroup(w)
}

func (s *Server) writeControlGroup(w http.ResponseWriter) {
	m := s.Group.Membership()
	writeJSON(w, http.StatusOK, ControlGroup{
		Leader: s.Self.ID, Voters: m.Voters, Learners: append([]lab.InstanceID{}, m.Learners...), AppliedIndex: s.Group.AppliedIndex(),
	})
}

// addControl adds an instance as a learner and promotes it to a voter. The operator may repeat the request until the
// instance is a voter.
func (s *Server) addControl(w http.ResponseWriter, r *http.Request, _ *leadership) {
	i, err := s.readControlInstance(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})

		return
	}
	known, found := s.Catalog.ControlInstance(i.Instance)
	if known.Removed {
		writeJSON(w, http.StatusConflict, errorResponse{
			Error: "the instance of this name was removed from the group and may have voted: use a new one",
		})

		return
	}
	if s.Group.Membership().Voter(i.Instance) {
		// An earlier request may have ended before its promotion was committed. The audit trail then lacks it.
		if found && !known.Voter {
			known.Voter = true
			s.recordMembershipChange(w, r, "control_added", known)

			return
		}
		s.writeControlGroup(w)

		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	if !found || known != i {
		if err := s.commitControlInstance(ctx, r, "control_add", i); err != nil {
			s.writeCommitError(w, err)

			return
		}
	}
	if err := s.Group.AddLearner(ctx, i.Instance); err != nil {
		s.writeMembershipError(w, err)

		return
	}
	if err := s.Group.Promote(ctx, i.Instance); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = errors.Newf("wait for %s: %w", i.Instance, labreplica.ErrLearnerBehind)
		}
		s.writeMembershipError(w, err)

		return
	}
	i.Voter = true
	s.recordMembershipChange(w, r, "control_added", i)
}

func (s *Server) readControlInstance(r *http.Request) (labcatalog.ControlInstance, error) {
	i := labcatalog.ControlInstance{Instance: lab.InstanceID(r.PathValue("id"))}
	if err := labcatalog.CheckName(string(i.Instance)); err != nil {
		return i, err
	}
	var a controlAddresses
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil && !errors.Is(err, io.EOF) {
		return i, errors.Newf("read addresses: %w; accepted fields: process_address, operator_address", err)
	}
	for _, v := range []string{a.ProcessAddress, a.OperatorAddress} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return i, errors.Newf("process_address and operator_address must be IP addresses with ports: %w", err)
		}
	}
	i.ProcessAddress, i.OperatorAddress = a.ProcessAddress, a.OperatorAddress

	return i, nil
}

func (s *Server) removeControl(w http.ResponseWriter, r *http.Request, _ *leadership) {
	i := labcatalog.ControlInstance{Instance: lab.InstanceID(r.PathValue("id")), Removed: true}
	known, _ := s.Catalog.ControlInstance(i.Instance)
	if known.Removed {
		s.writeControlGroup(w)

		return
	}
	if m := s.Group.Membership(); !m.Voter(i.Instance) && !m.Learner(i.Instance) {
		if _, ok := s.ControlAddress(i.Instance); !ok {
			writeJSON(w, http.StatusNotFound, errorResponse{Error: "no such control instance"})

			return
		}
	}
	if i.Instance == s.Self.ID {
		writeJSON(w, http.StatusConflict, errorResponse{
			Error: "this instance leads the group: stop it and remove it when another instance leads",
		})

		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	if err := s.Group.Remove(ctx, i.Instance); err != nil {
		s.recordRefusedRemoval(ctx, r, i.Instance)
		s.writeMembershipError(w, err)

		return
	}
	s.recordMembershipChange(w, r, "control_removed", i)
}

// recordMembershipChange commits a completed membership change to the catalog and the audit trail.
func (s *Server) recordMembershipChange(
	w http.ResponseWriter, r *http.Request, action string, i labcatalog.ControlInstance,
) {
	if err := s.commitControlInstance(r.Context(), r, action, i); err != nil {
		s.writeCommitError(w, err)

		return
	}
	s.Logger.Info().Str("event", action).Str("instance", string(i.Instance)).Str("operator", r.Header.Get(headerOperator)).Send()
	s.writeControlGroup(w)
}

func (s *Server) commitControlInstance(
	ctx context.Context, r *http.Request, action string, i labcatalog.ControlInstance,
) error {
	_, err := s.propose(ctx, &labcatalog.Command{
		ControlInstance: &i, OperatorAction: controlAction(r, action, i.Instance),
	})

	return err
}

// recordRefusedRemoval adds a refused removal to the audit trail. The operator receives the refusal even if the audit
// trail could not be changed.
func (s *Server) recordRefusedRemoval(ctx context.Context, r *http.Request, id lab.InstanceID) {
	if _, err := s.propose(ctx, &labcatalog.Command{
		OperatorAction: controlAction(r, "control_remove_refused", id),
	}); err != nil {
		s.Logger.Warn().Str("event", "note_failed").Err(err).Send()
	}
}

func controlAction(r *http.Request, action string, id lab.InstanceID) *labcatalog.OperatorAction {
	return &labcatalog.OperatorAction{
		Operator: r.Header.Get(headerOperator), Action: action, Object: "control/" + string(id),
	}
}

func (s *Server) writeMembershipError(w http.ResponseWriter, err error) {
	s.Logger.Warn().Str("event", "membership_change_failed").Err(err).Send()
	switch {
	case errors.Is(err, labreplica.ErrUnsafeChange):
		writeJSON(w, http.StatusConflict, errorResponse{Error: "refused: " + err.Error()})
	case errors.Is(err, labreplica.ErrLearnerBehind):
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{
			Error: "the instance has not caught up yet: check that it runs with " +
				"\"join\": true at this address and send the request again",
		})
	default:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{
			Error: "outcome unknown: send the request again: " + err.Error(),
		})
	}
}
