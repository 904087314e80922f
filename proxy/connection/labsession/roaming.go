package labsession

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// sessionNameLength is the fewest characters of a session name, which is the only secret that protects its floors.
	sessionNameLength = 16

	// floorTimeout is time for two calls to a silent peer, of 500 ms each.
	floorTimeout = time.Second
	// owedTimeout bounds the wait of writes while the floor of an earlier one could not be kept: enough to reach the
	// other peer across regions.
	owedTimeout = 200 * time.Millisecond
	// laterTimeout bounds attempts in the background; control replaces a silent peer after 5 s.
	laterTimeout = 10 * time.Second
)

// roaming recalls and keeps the floors of a session that is known by name and carries no token.
type roaming struct {
	floors   lab.MinPositionStore
	session  string
	database string
	timeout  time.Duration

	// Owned by the worker after start.
	recalled chan lab.StoredMinPosition // nil once it was received
	unknown  bool                       // no floor was recalled, and the primary has not answered yet

	lock    sync.Mutex
	kept    lab.WALPosition // latest floor that was kept
	owed    lab.WALPosition // floor of a write that was answered without being kept, else zero
	next    lab.WALPosition // floor to keep in the background, else zero
	running bool            // a goroutine keeps floors in the background
}

// roam prepares a session that gives its name and no token.
func (s *Session) roam(parameters map[string]string) *failure {
	name := parameters[parameterSession]
	if s.server.Floors == nil || name == "" || parameters[parameterToken] != "" {
		return nil
	}

	if len(name) < sessionNameLength {
		return &failure{
			codeInvalidParameter, "the session name is too short",
			"use at least 16 characters that cannot be guessed, or present the session's token",
		}
	}

	s.roaming = &roaming{
		floors: s.server.Floors, database: s.database, timeout: s.server.floorTimeout(),
		session: s.organisation + "/" + name, // a valid name contains no slash
	}

	return nil
}

func (v *Server) floorTimeout() time.Duration {
	if v.FloorTimeout > 0 {
		return v.FloorTimeout
	}

	return floorTimeout
}

// start recalls the floor without blocking the login, which runs on an event loop.
func (r *roaming) start() {
	if r == nil {
		return
	}

	c := make(chan lab.StoredMinPosition, 1)
	r.recalled = c

	go func() { c <- r.floors.Load(context.Background(), r.session, r.database) }()
}

// recall waits for the floor before the session's first message is handled.
func (s *Session) recall() {
	r := s.roaming
	if r == nil || r.recalled == nil {
		return
	}

	f := <-r.recalled
	r.recalled, r.unknown = nil, f.PrimaryOnly

	if !f.PrimaryOnly {
		r.kept = f.MinPosition
		s.token, s.tokenChanged = s.raise(f.MinPosition)
	}
}

// primaryOnly reports whether reads must go to the primary.
func (r *roaming) primaryOnly() bool {
	if r == nil {
		return false
	}

	r.lock.Lock()
	defer r.lock.Unlock()

	return r.unknown || !r.owed.IsZero()
}

// keepFloor keeps the session's floor after a unit: that of a write before the answer ends, that of a read in the
// background.
func (s *Session) keepFloor(u *unit, result lab.BatchResult) {
	r := s.roaming
	if r == nil || result.Position.IsZero() {
		return
	}

	// The primary's position is past every write acknowledged before.
	r.unknown = r.unknown && result.FromReplica

	floor := s.token.Floor(s.database)
	if wait, due := r.due(floor); !due {
		return
	} else if !result.FromReplica && !u.pure() {
		s.keepWrite(floor, wait)

		return
	}

	r.later(floor)
}

// due reports whether a floor is not kept yet, and how long a write waits for it.
func (r *roaming) due(floor lab.WALPosition) (wait time.Duration, due bool) {
	r.lock.Lock()
	defer r.lock.Unlock()

	if !r.owed.IsZero() {
		return min(r.timeout, owedTimeout), true
	}

	return r.timeout, floor != r.kept
}

func (s *Session) keepWrite(floor lab.WALPosition, wait time.Duration) {
	r := s.roaming

	err := r.keep(floor, wait)
	if err == nil {
		return
	}

	s.server.Counters.FloorsUnkept.Add(1)

	r.lock.Lock()
	first := r.owed.IsZero()
	r.owed = floor
	r.lock.Unlock()
	r.later(floor)

	if first {
		s.server.Log.Warn().Err(err).Str("organisation", s.organisation).Str("database", s.database).Msg("floor_not_kept")
	}
}

// keep stores a floor at the peers.
func (r *roaming) keep(floor lab.WALPosition, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()

	if err := r.floors.Store(ctx, r.session, r.database, floor); err != nil {
		return err
	}

	r.lock.Lock()
	defer r.lock.Unlock()

	if floor.Later(r.kept) {
		r.kept = floor
	}

	if !r.owed.Later(floor) {
		r.owed = lab.WALPosition{}
	}

	return nil
}

// later keeps a floor in the background, the latest one when there are several.
func (r *roaming) later(floor lab.WALPosition) {
	r.lock.Lock()
	defer r.lock.Unlock()

	r.next = floor
	if !r.running {
		r.running = true

		go r.work()
	}
}

func (r *roaming) work() {
	for {
		r.lock.Lock()
		floor := r.next
		r.next = lab.WALPosition{}
		r.running = !floor.IsZero()
		r.lock.Unlock()

		if floor.IsZero() {
			return
		}

		_ = r.keep(floor, laterTimeout) // the session's next unit tries again
	}
}
