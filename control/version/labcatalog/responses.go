package labcatalog

import "sort"

// responseLimit is the number of changes whose responses are kept. At 690 changes a day, these are the changes of the
// last three weeks.
const responseLimit = 16384

type cachedResponse struct {
	Response ChangeResponse `msgpack:"a"`
	Digest   []byte         `msgpack:"d"`
}

// responseCache holds the responses to the newest changes in the order of their log indexes.
type responseCache struct {
	ordered []cachedResponse
	byID    map[string]cachedResponse
}

func (m *responseCache) add(r cachedResponse) {
	if m.byID == nil {
		m.byID = map[string]cachedResponse{}
	}
	if len(m.ordered) >= responseLimit {
		delete(m.byID, m.ordered[0].Response.ChangeID)
		m.ordered[0] = cachedResponse{}
		m.ordered = m.ordered[1:]
	}
	m.ordered = append(m.ordered, r)
	m.byID[r.Response.ChangeID] = r
}

func (m *responseCache) lookup(id string) (cachedResponse, bool) {
	r, ok := m.byID[id]

	return r, ok
}

// versionAt returns the newest configuration version that was accepted up to a log index. It returns 0 if the response
// to that change is no longer kept.
func (m *responseCache) versionAt(index uint64) uint64 {
	n := sort.Search(len(m.ordered), func(i int) bool { return m.ordered[i].Response.Index > index })
	for n > 0 {
		n--
		if m.ordered[n].Response.Outcome == OutcomeAccepted {
			return m.ordered[n].Response.Version
		}
	}

	return 0
}
