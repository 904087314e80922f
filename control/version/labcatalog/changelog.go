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

// changeLogLimit is the number of changes that remain when older changes are dropped. A proxy that lacks a dropped
// change gets the full catalog.
const changeLogLimit = 16384

type changedObject struct {
	index uint64
	kind  objectKind
	name  string
}

// changeLog remembers which objects changed at which log index.
type changeLog struct {
	lock        sync.RWMutex
	droppedUpTo uint64 // changes up to this log index have been dropped
	changes     []changedObject
}

func (j *changeLog) add(index uint64, kind objectKind, name string) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if len(j.changes) >= 2*changeLogLimit {
		j.droppedUpTo = j.changes[changeLogLimit-1].index
		j.changes = append([]changedObject(nil), j.changes[changeLogLimit:]...)
	}
	j.changes = append(j.changes, changedObject{index: index, kind: kind, name: name})
}

// since returns the objects that changed after a log index, or false if some of these changes have been dropped.
func (j *changeLog) since(index uint64) ([]changedObject, bool) {
	j.lock.RLock()
	defer j.lock.RUnlock()
	if index < j.droppedUpTo || index == 0 {
		return nil, false
	}
	from := sort.Search(len(j.changes), func(i int) bool { return j.changes[i].index > index })

	return j.changes[from:], true
}
