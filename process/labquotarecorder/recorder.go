package labquotarecorder

import (
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
)

const (
	// maxOrganisations bounds the organisations that are counted by name. The others are counted together.
	maxOrganisations = 128
	otherName        = "other"
	// quietTime is the time without a refusal after which the refusals of an organisation have ended.
	quietTime = 5 * time.Second
)

// Recorder counts tokens by organisation. It is safe for concurrent use; exported fields are set before use.
type Recorder struct {
	Clock lab.Clock
	Log   zerolog.Logger

	granted   expvar.Map // tokens that were given to operations or proxies
	limited   expvar.Map // refusals since the limit was reached
	noContact expvar.Map // refusals since no instance with tokens answered
	expired   expvar.Map // tokens that expired unused

	mutex   sync.Mutex
	names   map[string]bool
	refused map[string]*episode
}

// episode is a time in which an organisation was refused tokens again and again.
type episode struct {
	since     time.Duration
	last      time.Duration
	limited   int
	noContact int
}

// Publish adds the counters to a map.
func (r *Recorder) Publish(m *expvar.Map) {
	m.Set("quota_granted", &r.granted)
	m.Set("quota_refused_limit", &r.limited)
	m.Set("quota_refused_contact", &r.noContact)
	m.Set("quota_expired", &r.expired)
}

// Granted counts n granted tokens.
func (r *Recorder) Granted(organisation string, n int) {
	r.granted.Add(r.label(organisation), int64(n))
}

// Expired counts n tokens that expired unused.
func (r *Recorder) Expired(organisation string, n int) {
	r.expired.Add(r.label(organisation), int64(n))
}

// Refused counts n refused tokens. It logs the first refusal of an organisation.
func (r *Recorder) Refused(organisation string, n int, noContact bool) {
	counts := &r.limited
	if noContact {
		counts = &r.noContact
	}

	counts.Add(r.label(organisation), int64(n))

	r.mutex.Lock()
	defer r.mutex.Unlock()

	now := r.Clock.Now()

	e, ok := r.refused[organisation]
	if !ok {
		if r.refused == nil {
			r.refused = map[string]*episode{}
		}

		e = &episode{since: now}
		r.refused[organisation] = e

		r.Log.Info().Str("organisation", organisation).Bool("contact", !noContact).Msg("quota_refusals_started")
	}

	e.last = now

	if noContact {
		e.noContact += n
	} else {
		e.limited += n
	}
}

// LogEnded logs the organisations whose refusals have ended. It is called about once a second.
func (r *Recorder) LogEnded() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	now := r.Clock.Now()

	for name, e := range r.refused {
		if now-e.last < quietTime {
			continue
		}

		delete(r.refused, name)
		r.Log.Info().Str("organisation", name).Dur("lasted", e.last-e.since).Int("limit", e.limited).
			Int("no_contact", e.noContact).Msg("quota_refusals_ended")
	}
}

// label returns the name under which an organisation is counted.
func (r *Recorder) label(organisation string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.names[organisation] {
		return organisation
	}

	if len(r.names) >= maxOrganisations {
		return otherName
	}

	if r.names == nil {
		r.names = map[string]bool{}
	}

	r.names[organisation] = true

	return organisation
}
