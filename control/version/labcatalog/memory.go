package labcatalog

import "sort"

// memoryLimit is how many change ids are remembered; at 690 changes a day this covers three weeks.
const memoryLimit = 16384

type remembered struct {
	Answer Answer `msgpack:"a"`
	Digest []byte `msgpack:"d"`
}

// memory keeps the answers to the newest change ids in order of arrival.
type memory struct {
	order []remembered
	found map[string]remembered
}

func (m *memory) add(r remembered) {
	if m.found == nil {
		m.found = map[string]remembered{}
	}
	if len(m.order) >= memoryLimit {
		delete(m.found, m.order[0].Answer.ChangeID)
		m.order[0] = remembered{}
		m.order = m.order[1:]
	}
	m.order = append(m.order, r)
	m.found[r.Answer.ChangeID] = r
}

func (m *memory) find(id string) (remembered, bool) {
	r, ok := m.found[id]

	return r, ok
}

// version returns the newest version that was accepted up to a log index.
func (m *memory) version(index uint64) uint64 {
	n := sort.Search(len(m.order), func(i int) bool { return m.order[i].Answer.Index > index })
	for n > 0 {
		n--
		if m.order[n].Answer.Outcome == OutcomeAccepted {
			return m.order[n].Answer.Version
		}
	}

	return 0
}
