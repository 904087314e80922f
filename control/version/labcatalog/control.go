package labcatalog

import (
	"maps"
	"sync"

	"laburnumlock.dev/lab"
)

// ControlInstance is a control instance that joined the group after it was founded, or one that was removed.
type ControlInstance struct {
	Instance        lab.InstanceID `msgpack:"i"`
	ProcessAddress  string         `msgpack:"p"`
	OperatorAddress string         `msgpack:"o"`
	Removed         bool           `msgpack:"r"` // the id may have voted and must never be reused
}

// controlInstances holds the control instances that aren't listed in the settings of the first instances.
type controlInstances struct {
	lock      sync.RWMutex
	instances map[lab.InstanceID]ControlInstance
}

// ControlInstance returns what the replicated log says about a control instance.
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
