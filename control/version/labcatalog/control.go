package labcatalog

import (
	"maps"
	"sync"

	"laburnumlock.dev/lab"
)

// ControlInstance is a control instance that joined after the founding, or one that was removed.
type ControlInstance struct {
	Instance        lab.InstanceID `msgpack:"i"`
	ProcessAddress  string         `msgpack:"p"`
	OperatorAddress string         `msgpack:"o"`
	Removed         bool           `msgpack:"r"` // its name may have voted and is never used again
}

// controlInstances holds the control instances that the settings of the founders don't list.
type controlInstances struct {
	lock      sync.RWMutex
	instances map[lab.InstanceID]ControlInstance
}

// ControlInstance returns what the log says about a control instance.
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
