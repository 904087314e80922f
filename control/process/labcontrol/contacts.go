package labcontrol

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const contactShards = 16

// contact describes the latest heartbeats of a proxy.
type contact struct {
	receivedAt   time.Duration // when the last heartbeat arrived, on this instance's clock
	incarnation  uint64
	appliedIndex uint64 // highest index that this incarnation has reported as applied
}

// contacts holds the contact of every proxy, in shards by instance id.
type contacts [contactShards]struct {
	lock    sync.Mutex
	byProxy map[lab.InstanceID]contact
}

// record updates the contact of a proxy, unless a later incarnation of the proxy has already sent a heartbeat.
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
	shard.byProxy[h.Instance.ID] = contact{
		receivedAt: now, incarnation: h.Instance.Incarnation, appliedIndex: appliedIndex,
	}
}

func (c *contacts) last(id lab.InstanceID) contact {
	shard := &c[xxhash.Sum64String(string(id))%contactShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()

	return shard.byProxy[id]
}
