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

// packedChanges caches the compressed changes of a list up to a revision, by the revision of the receiver. Many proxies
// have the same.
type packedChanges struct {
	mutex    sync.Mutex
	epoch    uint64 // leader epoch of packed
	revision uint64 // revision up to which the changes in packed go
	packed   map[uint64][]byte
}

// get returns the compressed changes between two revisions.
func (c *packedChanges) get(epoch, from, to uint64, changes any) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.packed == nil || c.epoch != epoch || c.revision != to {
		c.epoch, c.revision, c.packed = epoch, to, map[uint64][]byte{}
	}

	if b, ok := c.packed[from]; ok {
		return b, nil
	}

	b, err := labpack.Encode(changes)
	if err != nil {
		return nil, err
	}

	c.packed[from] = b

	return b, nil
}
