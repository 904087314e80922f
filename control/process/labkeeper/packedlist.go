package labkeeper

import (
	"sync"

	"laburnumlock.dev/lab/process/labpack"
)

// packedList is the compressed form of a list that many proxies ask for; it is made once for each revision.
type packedList struct {
	mutex    sync.Mutex
	epoch    uint64
	revision uint64
	packed   []byte
}

// get returns the compressed list of a revision. A list that changes meanwhile has a newer revision, which the proxies ask
// for next.
func (l *packedList) get(boot, revision uint64, build func() any) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.packed != nil && l.epoch == boot && l.revision == revision {
		return l.packed, nil
	}

	b, err := labpack.Encode(build())
	if err != nil {
		return nil, err
	}

	l.epoch, l.revision, l.packed = boot, revision, b

	return b, nil
}
