package labcontrol

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const heartbeatShards = 16

// heartbeatSummary describes the latest heartbeats of a proxy.
type heartbeatSummary struct {
	receivedAt   time.Duration // when the last heartbeat arrived, on this instance's clock
	incarnation  uint64
	appliedIndex uint64 // highest index that this incarnation has reported as applied
}

// heartbeatSummaries holds the heartbeatSummary of every proxy, in shards by instance id.
type heartbeatSummaries [heartbeatShards]struct {
	lock    sync.Mutex
	byProxy map[lab.InstanceID]heartbeatSummary
}

// record updates the summary of a proxy, unless a later incarnation of the proxy has already sent a heartbeat.
func (s *heartbeatSummaries) record(now time.Duration, h *lab.Heartbeat) {
	shard := &s[xxhash.Sum64String(string(h.Instance.ID))%heartbeatShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	old := shard.byProxy[h.Instance.ID]
	if old.incarnation > h.Instance.Incarnation {
		return
	}
	if shard.byProxy == nil {
		shard.byProxy = map[lab.InstanceID]heartbeatSummary{}
	}
	appliedIndex := h.AppliedIndex
	if old.incarnation == h.Instance.Incarnation {
		appliedIndex = max(appliedIndex, old.appliedIndex) // an older heartbeat may arrive late
	}
	shard.byProxy[h.Instance.ID] = heartbeatSummary{
		receivedAt: now, incarnation: h.Instance.Incarnation, appliedIndex: appliedIndex,
	}
}

func (s *heartbeatSummaries) last(id lab.InstanceID) heartbeatSummary {
	shard := &s[xxhash.Sum64String(string(id))%heartbeatShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()

	return shard.byProxy[id]
}
