package labcontrol

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const contactShards = 16

// contact is when and with what a proxy was last heard of.
type contact struct {
	at          time.Duration
	incarnation uint64
	confirmed   uint64
}

// contacts holds the last contact of every proxy.
type contacts [contactShards]struct {
	lock  sync.Mutex
	proxy map[lab.InstanceID]contact
}

// heard records a contact unless one of a later life of the proxy is known.
func (c *contacts) heard(now time.Duration, h *lab.Heartbeat) {
	s := &c[xxhash.Sum64String(string(h.Instance.ID))%contactShards]
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.proxy[h.Instance.ID]
	if old.incarnation > h.Instance.Incarnation {
		return
	}
	if s.proxy == nil {
		s.proxy = map[lab.InstanceID]contact{}
	}
	confirmed := h.AppliedIndex
	if old.incarnation == h.Instance.Incarnation {
		confirmed = max(confirmed, old.confirmed) // an older heartbeat may arrive late
	}
	s.proxy[h.Instance.ID] = contact{at: now, incarnation: h.Instance.Incarnation, confirmed: confirmed}
}

func (c *contacts) last(id lab.InstanceID) contact {
	s := &c[xxhash.Sum64String(string(id))%contactShards]
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.proxy[id]
}
