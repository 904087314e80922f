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
	receivedAt   time.Duration
	incarnation  uint64
	appliedIndex uint64
}

// contacts holds the last contact of every proxy.
type contacts [contactShards]struct {
	lock    sync.Mutex
	byProxy map[lab.InstanceID]contact
}

// record records a contact unless one of a later life of the proxy is known.
func (c *contacts) record(now time.Duration, h *lab.Heartbeat) {
	shard := &c[xxhash.Sum64String(string(h.Instance.ID))%contactShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	old := shard.byProxy[h.Instance.ID]
	if old.incarnation > h.Instance.Incarnation {
		return
	}
	if shard.byProxy == nil {
		shard.byProxy = map[lab.InstanceID]contact{}
	}
	appliedIndex := h.AppliedIndex
	if old.incarnation == h.Instance.Incarnation {
		appliedIndex = max(appliedIndex, old.appliedIndex) // an older heartbeat may arrive late
	}
	shard.byProxy[h.Instance.ID] = contact{receivedAt: now, incarnation: h.Instance.Incarnation, appliedIndex: appliedIndex}
}

func (c *contacts) last(id lab.InstanceID) contact {
	shard := &c[xxhash.Sum64String(string(id))%contactShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()

	return shard.byProxy[id]
}
