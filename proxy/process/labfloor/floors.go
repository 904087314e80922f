package labfloor

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	copies             = 2
	defaultCallTimeout = 500 * time.Millisecond
	defaultRetention   = time.Hour
	defaultLimit       = 200_000 // floors; about 30 MB
	retryPause         = 50 * time.Millisecond
	maxSessionBytes    = 256
)

// Floors implements lab.MinPositionStore, and holds floors for other proxies. Its Handle method is the
// lab.CallHandler of lab.MethodMinPosition. Exported fields are set before use.
type Floors struct {
	Self        lab.Instance
	Candidates  func() []lab.Instance // live proxies that may hold floors, the same ones at every proxy
	Peers       lab.PeerClient
	Clock       lab.Clock
	CallTimeout time.Duration // of each call to a peer; 500 ms when zero
	Retention   time.Duration // for which a peer keeps a floor at least, unless it is full; 1 h when zero
	Limit       int           // floors held for others at most; 200,000 when zero

	store store
}

// call is the request of lab.MethodMinPosition.
type call struct {
	Key   string          `msgpack:"k"`
	Keep  bool            `msgpack:"w"` // stores the floor; else it is read
	Floor lab.WALPosition `msgpack:"f"`
}

// answer is the response of lab.MethodMinPosition.
type answer struct {
	ID    lab.InstanceID  `msgpack:"i"`
	Floor lab.WALPosition `msgpack:"f"`
	Found bool            `msgpack:"o"`
}

var (
	errFewPeers = errors.New("fewer than two peers can hold a floor")
	errSession  = errors.New("the session name is empty or too long")
	errMoved    = errors.New("the session's peers changed while its floor was kept")
	errReused   = errors.New("another instance answers at the peer's address")
)

// Store stores a floor at both peers of a session. It must return nil before a write up to the floor is acknowledged, and
// tries again, with the candidates of that moment, until the context ends.
func (f *Floors) Store(ctx context.Context, session, database string, floor lab.WALPosition) error {
	if session == "" || len(session) > maxSessionBytes {
		return errSession
	}

	c := &call{Key: keyOf(session, database), Keep: true, Floor: floor}

	for {
		err := f.keepOnce(ctx, session, c)
		if err == nil {
			return nil
		}

		if f.Clock.Sleep(ctx, retryPause) != nil {
			return errors.Newf("keep floor: %w", err)
		}
	}
}

func (f *Floors) keepOnce(ctx context.Context, session string, c *call) error {
	peers := choose(f.Candidates(), session)
	if peers == nil {
		return errFewPeers
	}

	for _, r := range f.ask(ctx, peers, c) {
		if r.err != nil {
			return r.err
		}
	}

	// Proxies that have the new list already would look elsewhere.
	if !same(peers, choose(f.Candidates(), session)) {
		return errMoved
	}

	return nil
}

// Load returns a session's floor from its two peers.
func (f *Floors) Load(ctx context.Context, session, database string) lab.StoredMinPosition {
	peers := choose(f.Candidates(), session)
	if peers == nil || session == "" {
		return lab.StoredMinPosition{PrimaryOnly: true}
	}

	var latest lab.WALPosition

	for _, r := range f.ask(ctx, peers, &call{Key: keyOf(session, database)}) {
		if r.err != nil || !r.answer.Found {
			return lab.StoredMinPosition{PrimaryOnly: true}
		}

		if r.answer.Floor.Later(latest) {
			latest = r.answer.Floor
		}
	}

	return lab.StoredMinPosition{MinPosition: latest}
}

// keyOf joins session and database without ambiguity.
func keyOf(session, database string) string {
	return strconv.Itoa(len(session)) + " " + session + " " + database
}

type reply struct {
	answer answer
	err    error
}

// ask calls the peers in parallel and returns all replies.
func (f *Floors) ask(ctx context.Context, peers []lab.Instance, c *call) []reply {
	timeout := f.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	replies := make(chan reply, len(peers))

	for _, p := range peers {
		go func() { replies <- f.send(ctx, p, c) }()
	}

	all := make([]reply, 0, len(peers))
	for range peers {
		all = append(all, <-replies)
	}

	return all
}

func (f *Floors) send(ctx context.Context, peer lab.Instance, c *call) reply {
	if peer.ID == f.Self.ID {
		return reply{answer: f.serve(c)}
	}

	var r reply

	err := f.Peers.Call(ctx, peer.Address, lab.MethodMinPosition, c, &r.answer)

	switch {
	case err != nil:
		r.err = errors.Newf("call floor peer: %w", err)
	case r.answer.ID != peer.ID:
		r.err = errReused
	}

	return r
}

// Handle answers a call of another proxy; it is the lab.CallHandler of lab.MethodMinPosition.
func (f *Floors) Handle(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var c call
	if err := decode(&c); err != nil {
		return nil, errors.Newf("decode floor call: %w", err)
	}

	a := f.serve(&c)

	return &a, nil
}

func (f *Floors) serve(c *call) answer {
	now, limit, retention := f.Clock.Now(), f.Limit, f.Retention
	if limit == 0 {
		limit = defaultLimit
	}

	if retention == 0 {
		retention = defaultRetention
	}

	a := answer{ID: f.Self.ID}

	if c.Keep {
		f.store.raise(now, c.Key, c.Floor, limit, retention)
		return a
	}

	a.Floor, a.Found = f.store.lookup(now, c.Key, limit, retention)

	return a
}
