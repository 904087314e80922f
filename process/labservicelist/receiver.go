package labservicelist

import (
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// expiry is how long the list of a proxy is kept without a request. Proxies send one every 500 ms; one whose list was
// forgotten sends it again.
const expiry = 5 * time.Second

// Receiver holds the lists of the proxies that watch this process. It is safe for concurrent use.
type Receiver struct {
	mutex sync.Mutex
	lists map[lab.InstanceID]*list
}

// list is the list of one run of a proxy.
type list struct {
	incarnation uint64
	revision    uint64
	services    map[string]bool
	heardAt     time.Duration
}

// Apply applies the changes in a request of a proxy and returns its list, sorted. It returns false if the list isn't
// known; the proxy may then use any service.
func (r *Receiver) Apply(proxy lab.Instance, c lab.ServiceChanges, now time.Duration) ([]string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	maps.DeleteFunc(r.lists, func(_ lab.InstanceID, l *list) bool { return now-l.heardAt > expiry })

	l := r.lists[proxy.ID]

	switch {
	case c.Revision == 0:
		delete(r.lists, proxy.ID)

		return nil, false
	case c.Base == 0:
		l = &list{incarnation: proxy.Incarnation, services: map[string]bool{}}
	case l == nil || l.incarnation != proxy.Incarnation || l.revision != c.Base:
		return nil, false
	}

	for _, n := range c.Removed {
		delete(l.services, n)
	}

	for _, n := range c.Added {
		l.services[n] = true
	}

	l.revision, l.heardAt = c.Revision, now

	if r.lists == nil {
		r.lists = map[lab.InstanceID]*list{}
	}

	r.lists[proxy.ID] = l

	return slices.Sorted(maps.Keys(l.services)), true
}
