package labplatformcontrol

import (
	"sync"

	"laburnumlock.dev/lab/process/labpack"
)

// packedList caches the compressed form of a list that many proxies request. The list is compressed once per revision.
type packedList struct {
	mutex    sync.Mutex
	epoch    uint64 // leader epoch of packed
	revision uint64 // revision of packed
	packed   []byte // compressed list
}

// get returns the compressed list of a revision. If the list changes while it is built, its revision grows too, and the
// proxies request the new revision next.
func (l *packedList) get(epoch, revision uint64, build func() any) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.packed != nil && l.epoch == epoch && l.revision == revision {
		return l.packed, nil
	}

	b, err := labpack.Encode(build())
	if err != nil {
		return nil, err
	}

	l.epoch, l.revision, l.packed = epoch, revision, b

	return b, nil
}
