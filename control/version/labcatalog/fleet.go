package labcatalog

import (
	"slices"
	"sync"

	"laburnumlock.dev/lab"
)

// proxy is the stored state of one proxy. It is kept after the proxy stops.
type proxy struct {
	Instance lab.Instance `msgpack:"i"`
	Draining bool         `msgpack:"d"`
	Live     bool         `msgpack:"l"` // false once the proxy has stopped
}

// fleet holds the proxies and the gateway roles placed on each.
type fleet struct {
	lock      sync.RWMutex
	proxies   map[lab.InstanceID]proxy
	changedAt uint64                                      // log index of the last change of the set of live proxies
	roles     map[lab.InstanceID]map[lab.GatewayRole]bool // set of gateway roles placed on each proxy
}

// Proxy describes a live proxy.
type Proxy struct {
	Instance lab.Instance
	Draining bool
}

// Instance returns the newest known incarnation of a proxy and whether the proxy is live.
func (c *Catalog) Instance(id lab.InstanceID) (instance lab.Instance, live bool) {
	c.fleet.lock.RLock()
	defer c.fleet.lock.RUnlock()
	p := c.fleet.proxies[id]

	return p.Instance, p.Live
}

// Proxies returns the live proxies sorted by id.
func (c *Catalog) Proxies() []Proxy {
	c.fleet.lock.RLock()
	defer c.fleet.lock.RUnlock()
	list := make([]Proxy, 0, len(c.fleet.proxies))
	for _, p := range c.fleet.proxies {
		if p.Live {
			list = append(list, Proxy{Instance: p.Instance, Draining: p.Draining})
		}
	}
	slices.SortFunc(list, func(a, b Proxy) int {
		if a.Instance.ID < b.Instance.ID {
			return -1
		}

		return 1
	})

	return list
}

// changedAfter reports whether the set of live proxies changed after a log index.
func (f *fleet) changedAfter(index uint64) bool {
	f.lock.RLock()
	defer f.lock.RUnlock()

	return f.changedAt > index
}

// GatewayRoles returns the gateway roles placed on a proxy, in no particular order.
func (c *Catalog) GatewayRoles(id lab.InstanceID) []lab.GatewayRole {
	c.fleet.lock.RLock()
	defer c.fleet.lock.RUnlock()
	list := make([]lab.GatewayRole, 0, len(c.fleet.roles[id]))
	for d := range c.fleet.roles[id] {
		list = append(list, d)
	}

	return list
}

func (c *Catalog) proxyJoined(index uint64, i lab.Instance) {
	c.fleet.lock.Lock()
	defer c.fleet.lock.Unlock()
	old, known := c.fleet.proxies[i.ID]
	if known && (i.Incarnation < old.Instance.Incarnation || (i.Incarnation == old.Instance.Incarnation && i != old.Instance)) {
		return
	}
	for id, p := range c.fleet.proxies {
		if id == i.ID || !p.Live || p.Instance.Address != i.Address {
			continue
		}
		if known && i.Incarnation == old.Instance.Incarnation {
			return // a late heartbeat of a process whose address is now used by another process
		}
		p.Live, c.fleet.changedAt = false, index // another process uses the address of p, so p has stopped
		c.fleet.proxies[id] = p
	}
	if !old.Live || old.Instance != i {
		c.fleet.changedAt = index
	}
	draining := known && old.Draining && old.Instance.Incarnation == i.Incarnation
	c.fleet.proxies[i.ID] = proxy{Instance: i, Live: true, Draining: draining}
}

func (c *Catalog) proxyDraining(id lab.InstanceID) {
	c.fleet.lock.Lock()
	defer c.fleet.lock.Unlock()
	if p, known := c.fleet.proxies[id]; known {
		p.Draining = true
		c.fleet.proxies[id] = p
	}
}

func (c *Catalog) proxyStopped(index uint64, d StoppedProxy) {
	c.fleet.lock.Lock()
	defer c.fleet.lock.Unlock()
	if p := c.fleet.proxies[d.Instance]; p.Live && p.Instance.Incarnation == d.Incarnation {
		p.Live, c.fleet.changedAt = false, index
		c.fleet.proxies[d.Instance] = p
	}
}

func (f *fleet) moveRole(role lab.GatewayRole, from, to lab.InstanceID) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if from != "" {
		delete(f.roles[from], role)
	}
	if to != "" {
		if f.roles[to] == nil {
			f.roles[to] = map[lab.GatewayRole]bool{}
		}
		f.roles[to][role] = true
	}
}

// Draining reports whether a proxy is about to stop and must get no new gateway roles.
func (c *Catalog) Draining(id lab.InstanceID) bool {
	c.fleet.lock.RLock()
	defer c.fleet.lock.RUnlock()

	return c.fleet.proxies[id].Draining
}
