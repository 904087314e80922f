package labcatalog

import (
	"sort"
	"sync"
)

type objectKind uint8

const (
	objectDatabase objectKind = iota
	objectOrganisation
)

// journalLimit bounds the remembered changes; a proxy further behind gets the full catalog.
const journalLimit = 16384

type changedObject struct {
	index uint64
	kind  objectKind
	name  string
}

// journal remembers which objects changed at which log index.
type journal struct {
	lock    sync.RWMutex
	floor   uint64 // changes at or below this index are not kept
	changes []changedObject
}

func (j *journal) add(index uint64, kind objectKind, name string) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if len(j.changes) >= 2*journalLimit {
		j.floor = j.changes[journalLimit-1].index
		j.changes = append([]changedObject(nil), j.changes[journalLimit:]...)
	}
	j.changes = append(j.changes, changedObject{index: index, kind: kind, name: name})
}

// since returns the objects changed after an index, or false when they are not all kept.
func (j *journal) since(index uint64) ([]changedObject, bool) {
	j.lock.RLock()
	defer j.lock.RUnlock()
	if index < j.floor || index == 0 {
		return nil, false
	}
	from := sort.Search(len(j.changes), func(i int) bool { return j.changes[i].index > index })

	return j.changes[from:], true
}
