package labcatalog

import (
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// Catalog is the replicated state of the control plane. One goroutine applies commands while others read. Each part of
// the state has its own lock.
type Catalog struct {
	index            atomic.Uint64
	configuration    configuration
	shards           [databaseShards]databaseShard
	fleet            fleet
	controlInstances controlInstances
	changes          changeLog
	audit            auditTrail
	// addressOwners maps each address to the member that last announced it. Only the goroutine that applies commands
	// uses the map.
	addressOwners map[string]memberKey
}

var _ lab.StateMachine = (*Catalog)(nil)

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{addressOwners: map[string]memberKey{}}
	c.configuration.templates = map[string]Template{}
	c.configuration.organisations = map[string]Organisation{}
	c.configuration.merged = map[string]*lab.Organisation{}
	c.controlInstances.restore(nil)
	c.fleet.proxies = map[lab.InstanceID]proxy{}
	c.fleet.roles = map[lab.InstanceID]map[lab.GatewayRole]bool{}
	for i := range c.shards {
		c.shards[i].groups = map[string]*group{}
	}

	return c
}

// Index returns the applied index of the replicated log.
func (c *Catalog) Index() uint64 {
	return c.index.Load()
}

// Organisations returns the names of all organisations, including deleted ones, in ascending order.
func (c *Catalog) Organisations() []string {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()
	names := make([]string, 0, len(c.configuration.merged))
	for n := range c.configuration.merged {
		names = append(names, n)
	}
	slices.Sort(names)

	return names
}

// Apply applies one committed command and returns a Result.
func (c *Catalog) Apply(index uint64, command []byte) any {
	if index <= c.Index() {
		return Result{Index: index, Err: errors.Newf("apply command %d: %d is already applied", index, c.Index())}
	}
	defer c.index.Store(index)
	result := Result{Index: index}
	if len(command) == 0 {
		return result
	}
	var m Command
	if err := msgpack.Unmarshal(command, &m); err != nil {
		result.Err = errors.Newf("decode command %d: %w", index, err)

		return result
	}
	c.applyTopology(index, &m)
	if m.Change != nil {
		response := c.applyChange(index, m.Change, m.ProposedAt)
		result.Response = &response
	}
	result.Err = c.applyPromotion(index, &m)
	if m.ControlInstance != nil {
		c.controlInstances.set(*m.ControlInstance)
	}
	c.applyOperatorAction(index, &m)

	return result
}

func (c *Catalog) applyTopology(index uint64, m *Command) {
	for _, i := range m.JoinedProxies {
		c.proxyJoined(index, i)
	}
	for _, i := range m.DrainingProxies {
		c.proxyDraining(i)
	}
	for _, d := range m.StoppedProxies {
		c.proxyStopped(index, d)
	}
	for _, a := range m.Announcements {
		c.applyAnnouncement(index, a)
	}
	for _, p := range m.Placements {
		c.setPlacement(index, p)
	}
	for _, r := range m.Registries {
		c.setRegistry(index, r)
	}
}

func (c *Catalog) applyPromotion(index uint64, m *Command) error {
	record := AuditRecord{Index: index, ProposedAt: m.ProposedAt, Operator: "control", Outcome: OutcomeAccepted}
	var err error
	switch {
	case m.Started != nil:
		record.Action, record.Object = "promotion_started", m.Started.Database
		err = c.promotionStarted(index, m.Started)
	case m.Chosen != nil:
		record.Action, record.Object = "promotion_chosen", m.Chosen.Database
		err = c.promotionChosen(index, m.Chosen)
	case m.Cancelled != nil:
		record.Action, record.Object = "promotion_cancelled", m.Cancelled.Database
		err = c.promotionCancelled(index, m.Cancelled)
	case m.Term != nil:
		record.Action, record.Object = "term_started", m.Term.Database
		err = c.termStarted(index, m.Term)
	case m.Departed != nil:
		record.Action, record.Object = "member_departed", m.Departed.Database+"/"+m.Departed.Member
		err = c.memberDeparted(index, m.Departed)
	case m.Forgotten != nil:
		record.Action, record.Object = "member_forgotten", m.Forgotten.Database+"/"+m.Forgotten.Member
		err = c.memberForgotten(index, m.Forgotten)
	default:
		return nil
	}
	if err == nil {
		c.audit.append(record)
	}

	return err
}

func (c *Catalog) applyOperatorAction(index uint64, m *Command) {
	if m.OperatorAction != nil {
		c.audit.append(AuditRecord{
			Index: index, ProposedAt: m.ProposedAt, Operator: m.OperatorAction.Operator, Action: m.OperatorAction.Action, Object: m.OperatorAction.Object,
			Outcome: OutcomeAccepted,
		})
	}
}
