package labdirectory

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labpool"
)

// AcknowledgedPositions returns, for each service with synchronous replicas, the newest position up to which this proxy
// knows every commit to be acknowledged, sorted by service.
func (d *Directory) AcknowledgedPositions() []lab.AcknowledgedPosition {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil {
		return nil
	}

	var out []lab.AcknowledgedPosition

	for n, s := range d.needed {
		s.joinClosedPools()

		// Without synchronous replicas, no replica need have a commit that was acknowledged.
		if d.settings[n].SyncReplicas == 0 {
			s.acknowledged = lab.CommitPosition{}

			continue
		}

		p := s.acknowledged
		for _, m := range s.members {
			p = p.Latest(m.pool.Acknowledged())
		}

		if !p.IsZero() {
			out = append(out, lab.AcknowledgedPosition{Service: n, Position: p})
		}
	}

	for n, s := range d.acknowledged {
		if d.settings[n].SyncReplicas == 0 {
			s.acknowledged = lab.CommitPosition{}

			delete(d.acknowledged, n)

			continue
		}

		out = append(out, lab.AcknowledgedPosition{Service: n, Position: s.acknowledged})
	}

	slices.SortFunc(out, func(a, b lab.AcknowledgedPosition) int { return strings.Compare(a.Service, b.Service) })

	return out
}

func (s *service) closePool(p *labpool.Pool) {
	p.Close()

	s.closedPools = append(s.closedPools, p)
	s.joinClosedPools()
}

// joinClosedPools takes over the acknowledged positions of closed pools and forgets those that are no longer in use.
func (s *service) joinClosedPools() {
	s.closedPools = slices.DeleteFunc(s.closedPools, func(p *labpool.Pool) bool {
		inProgress, _, _ := p.Load()
		s.acknowledged = s.acknowledged.Latest(p.Acknowledged())

		return inProgress == 0
	})
}
