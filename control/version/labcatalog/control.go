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

// controls holds the control instances that the settings of the founders don't list.
type controls struct {
	lock      sync.RWMutex
	instances map[lab.InstanceID]ControlInstance
}

// ControlInstance returns what the log says about a control instance.
func (c *Catalog) ControlInstance(id lab.InstanceID) (ControlInstance, bool) {
	c.controls.lock.RLock()
	defer c.controls.lock.RUnlock()
	i, ok := c.controls.instances[id]

	return i, ok
}

func (c *controls) set(i ControlInstance) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances[i.Instance] = i
}

func (c *controls) image() map[lab.InstanceID]ControlInstance {
	c.lock.RLock()
	defer c.lock.RUnlock()

	return maps.Clone(c.instances)
}

func (c *controls) restore(instances map[lab.InstanceID]ControlInstance) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances = map[lab.InstanceID]ControlInstance{}
	maps.Copy(c.instances, instances)
}
