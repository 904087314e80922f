package labminposition

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	peersPerSession     = 2
	defaultCallTimeout  = 500 * time.Millisecond
	defaultRetention    = time.Hour
	defaultMaxPositions = 200_000 // about 30 MB
	retryDelay          = 50 * time.Millisecond
	maxSessionBytes     = 256
)

// MinPositions stores and loads the minimum positions of this proxy's sessions, and is a peer that stores minimum
// positions for other proxies. It implements lab.MinPositionStore, and its Handle method is the lab.CallHandler of
// lab.MethodMinPosition. Exported fields are set before use.
type MinPositions struct {
	Self lab.Instance
	// Candidates returns the live proxies, from which peers are selected. It must return the same proxies at every
	// proxy, except for a short time after a change.
	Candidates   func() []lab.Instance
	Peers        lab.PeerClient
	Clock        lab.Clock
	CallTimeout  time.Duration // timeout of each call to a peer; 500 ms when zero
	Retention    time.Duration // minimum time that a peer keeps a position unless it is full; 1 h when zero
	MaxPositions int           // maximum number of positions that a peer stores; 200,000 when zero

	store store
}

// call is the request of lab.MethodMinPosition.
type call struct {
	Key         string          `msgpack:"k"` // session and database, joined by positionKey
	Write       bool            `msgpack:"w"` // whether MinPosition is to be stored; otherwise it is read
	MinPosition lab.WALPosition `msgpack:"f"`
}

// response is the response of lab.MethodMinPosition.
type response struct {
	ID          lab.InstanceID  `msgpack:"i"`
	MinPosition lab.WALPosition `msgpack:"f"`
	Found       bool            `msgpack:"o"`
}

var (
	errTooFewPeers   = errors.New("fewer than two proxies can store the minimum position")
	errSessionLength = errors.New("the session name is empty or too long")
	errPeersChanged  = errors.New("the session's peers changed while its minimum position was stored")
	errWrongInstance = errors.New("another instance responds at the peer's address")
)

// Store stores a session's minimum position at the session's peers, which are the two proxies that selectPeers returns.
// A write may be acknowledged only after Store has returned nil for the write's position. On failure Store retries with
// the current candidates until the context ends.
func (m *MinPositions) Store(ctx context.Context, session, database string, minPosition lab.WALPosition) error {
	if session == "" || len(session) > maxSessionBytes {
		return errSessionLength
	}

	c := &call{Key: positionKey(session, database), Write: true, MinPosition: minPosition}

	for {
		err := m.tryStore(ctx, session, c)
		if err == nil {
			return nil
		}

		if m.Clock.Sleep(ctx, retryDelay) != nil {
			return errors.Newf("store minimum position: %w", err)
		}
	}
}

func (m *MinPositions) tryStore(ctx context.Context, session string, c *call) error {
	peers := selectPeers(m.Candidates(), session)
	if peers == nil {
		return errTooFewPeers
	}

	for _, r := range m.callPeers(ctx, peers, c) {
		if r.err != nil {
			return r.err
		}
	}

	// If the candidates changed during the calls, proxies with the new list may load the position from other peers.
	if !samePeers(peers, selectPeers(m.Candidates(), session)) {
		return errPeersChanged
	}

	return nil
}

// Load reads a session's minimum position from both peers that store it, and returns the later of the two positions. If
// either peer does not return one, the session must read from the primary.
func (m *MinPositions) Load(ctx context.Context, session, database string) lab.StoredMinPosition {
	peers := selectPeers(m.Candidates(), session)
	if peers == nil || session == "" {
		return lab.StoredMinPosition{PrimaryOnly: true}
	}

	var latest lab.WALPosition

	for _, r := range m.callPeers(ctx, peers, &call{Key: positionKey(session, database)}) {
		if r.err != nil || !r.response.Found {
			return lab.StoredMinPosition{PrimaryOnly: true}
		}

		if r.response.MinPosition.Later(latest) {
			latest = r.response.MinPosition
		}
	}

	return lab.StoredMinPosition{MinPosition: latest}
}

// positionKey joins a session and a database. The length prefix ensures that two different pairs never have the same
// key.
func positionKey(session, database string) string {
	return strconv.Itoa(len(session)) + " " + session + " " + database
}

type peerResult struct {
	response response
	err      error
}

// callPeers calls the peers in parallel and returns all results.
func (m *MinPositions) callPeers(ctx context.Context, peers []lab.Instance, c *call) []peerResult {
	timeout := m.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	results := make(chan peerResult, len(peers))

	for _, p := range peers {
		go func() { results <- m.callPeer(ctx, p, c) }()
	}

	all := make([]peerResult, 0, len(peers))
	for range peers {
		all = append(all, <-results)
	}

	return all
}

func (m *MinPositions) callPeer(ctx context.Context, peer lab.Instance, c *call) peerResult {
	if peer.ID == m.Self.ID {
		return peerResult{response: m.execute(c)}
	}

	var r peerResult

	err := m.Peers.Call(ctx, peer.Address, lab.MethodMinPosition, c, &r.response)

	switch {
	case err != nil:
		r.err = errors.Newf("call minimum position peer: %w", err)
	case r.response.ID != peer.ID:
		r.err = errWrongInstance
	}

	return r
}

// Handle executes a call of another proxy. It is the lab.CallHandler of lab.MethodMinPosition.
func (m *MinPositions) Handle(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var c call
	if err := decode(&c); err != nil {
		return nil, errors.Newf("decode minimum position call: %w", err)
	}

	r := m.execute(&c)

	return &r, nil
}

func (m *MinPositions) execute(c *call) response {
	now, limit, retention := m.Clock.Now(), m.MaxPositions, m.Retention
	if limit == 0 {
		limit = defaultMaxPositions
	}

	if retention == 0 {
		retention = defaultRetention
	}

	r := response{ID: m.Self.ID}

	if c.Write {
		m.store.raise(now, c.Key, c.MinPosition, limit, retention)
		return r
	}

	r.MinPosition, r.Found = m.store.lookup(now, c.Key, limit, retention)

	return r
}
