package labplatformcontrol

import (
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labfailover"
)

const (
	// proxyExpiry is how long a proxy stays in the list after its last watch. It covers a change of the leader: if
	// proxies dropped out of the list in the meantime, gateways would move and every member would have to accept new
	// connections.
	proxyExpiry = 8 * time.Second
	// maxRecentChanges is the number of changes that are kept for proxies with a slightly older list: two for each of 300
	// proxies that restart in turn.
	maxRecentChanges = 600
)

// proxyRegistry holds the newest report of each proxy.
type proxyRegistry struct {
	clock lab.Clock

	mutex       sync.Mutex
	proxies     map[lab.InstanceID]*proxyEntry
	reports     map[string][]serviceReport // by service
	changes     uint64                     // grows when a proxy is added, changed or removed
	recent      []proxyChange              // the newest changes, at most maxRecentChanges
	lastNewAt   time.Duration              // time when the last new proxy appeared
	inheritedAt time.Duration              // time when a complete list was last merged, 0 for never
}

// proxyChange is the change of a proxy that led to a value of proxyRegistry.changes.
type proxyChange struct {
	id      lab.InstanceID
	removed bool
}

// serviceReport is a proxy's report on the primary of a service.
type serviceReport struct {
	proxy  *proxyEntry
	report lab.PrimaryReport
}

type proxyEntry struct {
	proxy     lab.Instance
	lastHeard time.Duration
	reports   []lab.PrimaryReport
}

func (w *proxyRegistry) record(r lab.WatchRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.proxies == nil {
		w.proxies = map[lab.InstanceID]*proxyEntry{}
	}

	old, known := w.proxies[r.Proxy.ID]

	switch {
	case r.Draining && known:
		w.remove(old)
	case !r.Draining:
		if !known || old.proxy != r.Proxy {
			w.addChange(r.Proxy.ID, false)
			w.lastNewAt = w.clock.Now()
		}

		if !known {
			old = &proxyEntry{}
			w.proxies[r.Proxy.ID] = old
		}

		old.proxy, old.lastHeard = r.Proxy, w.clock.Now()
		w.setReports(old, r.Primaries)
	}
}

// remove removes a proxy. The mutex must be held.
func (w *proxyRegistry) remove(p *proxyEntry) {
	w.setReports(p, nil)
	delete(w.proxies, p.proxy.ID)
	w.addChange(p.proxy.ID, true)
}

// setReports replaces the reports of a proxy. The mutex must be held.
func (w *proxyRegistry) setReports(p *proxyEntry, reports []lab.PrimaryReport) {
	if slices.Equal(p.reports, reports) {
		return
	}

	if w.reports == nil {
		w.reports = map[string][]serviceReport{}
	}

	for _, r := range p.reports {
		w.reports[r.Service] = slices.DeleteFunc(w.reports[r.Service], func(o serviceReport) bool { return o.proxy == p })

		if len(w.reports[r.Service]) == 0 {
			delete(w.reports, r.Service)
		}
	}

	for _, r := range reports {
		w.reports[r.Service] = append(w.reports[r.Service], serviceReport{p, r})
	}

	p.reports = reports
}

// mergeInherited adds the proxies of a list that the leader broadcast, or that was stored on disk. A list counts as valid
// for a new leader only if it was complete.
func (w *proxyRegistry) mergeInherited(proxies []lab.Instance, complete bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if len(proxies) > 0 && complete {
		w.inheritedAt = w.clock.Now()
	}

	if w.proxies == nil {
		w.proxies = map[lab.InstanceID]*proxyEntry{}
	}

	for _, p := range proxies {
		old, known := w.proxies[p.ID]
		if !known || old.proxy != p {
			w.addChange(p.ID, false)
		}

		if !known {
			old = &proxyEntry{}
			w.proxies[p.ID] = old
		}

		old.proxy, old.lastHeard = p, w.clock.Now()
		w.setReports(old, nil)
	}
}

// sinceLastNew returns the time since the last new proxy appeared.
func (w *proxyRegistry) sinceLastNew() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.clock.Now() - w.lastNewAt
}

// inheritedValidAt reports whether the list that was merged last was still valid at the given time.
func (w *proxyRegistry) inheritedValidAt(at time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.inheritedAt > 0 && w.inheritedAt+proxyExpiry > at
}

// removeSilent removes the proxies that have sent no watch for proxyExpiry, and returns a number that grows with each
// change of the list.
func (w *proxyRegistry) removeSilent() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	now := w.clock.Now()

	for _, p := range w.proxies {
		if now-p.lastHeard > proxyExpiry {
			w.remove(p)
		}
	}

	return w.changes
}

// list returns the proxies sorted by name.
func (w *proxyRegistry) list() []lab.Instance {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	out := make([]lab.Instance, 0, len(w.proxies))
	for _, p := range w.proxies {
		out = append(out, p.proxy)
	}

	slices.SortFunc(out, func(a, b lab.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })

	return out
}

// addChange records a change of a proxy. The mutex must be held.
func (w *proxyRegistry) addChange(id lab.InstanceID, removed bool) {
	w.changes++
	w.recent = append(w.recent, proxyChange{id, removed})

	if len(w.recent) > maxRecentChanges {
		w.recent = slices.Delete(w.recent, 0, len(w.recent)-maxRecentChanges)
	}
}

// changesSince returns the changes after the given number of changes, the newest of each proxy. It returns false if some
// of them are no longer known.
func (w *proxyRegistry) changesSince(changes uint64) (lab.ProxyChanges, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if changes > w.changes || w.changes-changes > uint64(len(w.recent)) {
		return lab.ProxyChanges{}, false
	}

	var out lab.ProxyChanges

	done := map[lab.InstanceID]bool{}

	for _, c := range slices.Backward(w.recent[len(w.recent)-int(w.changes-changes):]) {
		if done[c.id] {
			continue
		}

		done[c.id] = true

		if p, ok := w.proxies[c.id]; ok && !c.removed {
			out.Set = append(out.Set, p.proxy)
		} else {
			out.Removed = append(out.Removed, c.id)
		}
	}

	return out, true
}

// reportCount counts the proxies that recently failed to reach a primary and those that recently reached it.
type reportCount struct {
	failing, reaching int
	unreachable       bool // any proxy recently failed to reach it
}

// count counts the valid reports on a primary. Only the reports of its observers are counted if there are any, since the
// other proxies report failures only. A partition can leave a primary without observers; then all reports count.
func (w *proxyRegistry) count(service, member string) reportCount {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	var all, observers reportCount

	now := w.clock.Now()

	for i := range w.reports[service] {
		r := &w.reports[service][i]
		if r.report.Member != member || now-r.proxy.lastHeard > labfailover.ReportMaxAge {
			continue
		}

		all.add(r.report.UnreachableFor > 0)

		if r.report.Observer {
			observers.add(r.report.UnreachableFor > 0)
		}
	}

	if observers.failing+observers.reaching > 0 {
		observers.unreachable = all.unreachable

		return observers
	}

	return all
}

func (c *reportCount) add(failing bool) {
	if failing {
		c.failing++
		c.unreachable = true
	} else {
		c.reaching++
	}
}
