package labcatalog

import "laburnumlock.dev/lab"

// Delta returns the objects that changed after a log index, or the full catalog if the index is 0 or too old. An object
// that changes during the call may be newer than the index of the delta. In that case the next delta contains it again.
func (c *Catalog) Delta(since uint64) lab.CatalogDelta {
	delta := lab.CatalogDelta{BaseIndex: since, Index: c.Index(), Version: c.Version()}
	changes, complete := c.changes.since(since)
	if !complete || c.fleet.changedAfter(since) {
		for _, p := range c.Proxies() {
			delta.Proxies = append(delta.Proxies, p.Instance)
		}
	}
	if !complete {
		delta.BaseIndex = 0
		c.addAll(&delta)

		return delta
	}
	seen := make(map[changedObject]bool, len(changes))
	for _, o := range changes {
		o.index = 0
		if !seen[o] {
			seen[o] = true
			c.addObject(&delta, o)
		}
	}

	return delta
}

func (c *Catalog) addObject(delta *lab.CatalogDelta, o changedObject) {
	if o.kind == objectDatabase {
		if d, ok := c.Database(o.name); ok {
			delta.Databases = append(delta.Databases, *d)
		}

		return
	}
	if g, ok := c.Organisation(o.name); ok {
		delta.Organisations = append(delta.Organisations, *g)
	}
}

func (c *Catalog) addAll(delta *lab.CatalogDelta) {
	for _, n := range c.Databases() {
		c.addObject(delta, changedObject{kind: objectDatabase, name: n})
	}
	for _, n := range c.Organisations() {
		if o, ok := c.Organisation(n); ok && !o.Deleted {
			delta.Organisations = append(delta.Organisations, *o)
		}
	}
}
