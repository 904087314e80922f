package labcatalog

import (
	"maps"
	"sync"

	"laburnumlock.dev/lab"
)

// ControlInstance describes a control instance that joined the group after its bootstrap, or that was removed from the
// group.
type ControlInstance struct {
	Instance        lab.InstanceID `msgpack:"i"`
	ProcessAddress  string         `msgpack:"p"`
	OperatorAddress string         `msgpack:"o"`
	Removed         bool           `msgpack:"r"` // the instance was removed; its id may have voted and must not be reused
	Voter           bool           `msgpack:"v"` // the audit trail has the instance's promotion to a voter
}

// controlInstances holds the control instances that joined the group after its bootstrap, and those that were removed.
// The settings list all others.
type controlInstances struct {
	lock      sync.RWMutex
	instances map[lab.InstanceID]ControlInstance
}

// ControlInstance returns the description of a control instance that joined after the bootstrap or was removed.
func (c *Catalog) ControlInstance(id lab.InstanceID) (ControlInstance, bool) {
	c.controlInstances.lock.RLock()
	defer c.controlInstances.lock.RUnlock()
	i, ok := c.controlInstances.instances[id]

	return i, ok
}

func (c *controlInstances) set(i ControlInstance) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances[i.Instance] = i
}

func (c *controlInstances) snapshot() map[lab.InstanceID]ControlInstance {
	c.lock.RLock()
	defer c.lock.RUnlock()

	return maps.Clone(c.instances)
}

func (c *controlInstances) restore(instances map[lab.InstanceID]ControlInstance) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances = map[lab.InstanceID]ControlInstance{}
	maps.Copy(c.instances, instances)
}
