package labsession

import (
	"crypto/subtle"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Layout of a cancel key's process ID: 12 bits hold the proxy number, and 19 bits distinguish the proxy's sessions. The
// sign bit is always zero, since some clients read the ID as a signed number.
const (
	sessionBits = 19
	proxyBits   = 12
	shardCount  = 64
)

// MaxProxyNumber is the highest proxy number that fits into a cancel key.
const MaxProxyNumber = 1<<proxyBits - 1

// ProxyNumber derives a proxy's number in cancel keys from the ID of its instance. Two proxies may have the same
// number; the secrets of their keys then distinguish them.
func ProxyNumber(id lab.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % (MaxProxyNumber + 1))
}

// ErrKeysExhausted is returned when all cancel keys of a proxy are in use.
var ErrKeysExhausted = errors.New("no free cancel key")

// CancelKey identifies a session in a cancel request.
type CancelKey struct {
	ProcessID uint32 `msgpack:"p"`
	Secret    []byte `msgpack:"s"`
}

// Proxy returns the number of the proxy that issued the key.
func (k CancelKey) Proxy() uint32 {
	return k.ProcessID >> sessionBits
}

// CancelKeys maps the cancel keys of one proxy to its sessions.
type CancelKeys struct {
	// Proxy is the number of this proxy, at most MaxProxyNumber. Other proxies may have the same number.
	Proxy uint32

	next   atomic.Uint32
	shards [shardCount]keyShard
}

type keyShard struct {
	lock     sync.Mutex
	sessions map[uint32]keyEntry
}

type keyEntry struct {
	session *Session
	secret  []byte
}

// add registers a session and returns the process ID of its cancel key.
func (k *CancelKeys) add(s *Session, secret []byte) (uint32, error) {
	const mask = 1<<sessionBits - 1

	for range mask {
		id := k.Proxy<<sessionBits | k.next.Add(1)&mask
		if k.shards[id%shardCount].add(id, keyEntry{session: s, secret: secret}) {
			return id, nil
		}
	}

	return 0, ErrKeysExhausted
}

func (k *CancelKeys) remove(id uint32) {
	h := &k.shards[id%shardCount]

	h.lock.Lock()
	defer h.lock.Unlock()

	delete(h.sessions, id)
}

// Cancel cancels the running batch of the session with the given key. It returns false when no session has the key.
func (k *CancelKeys) Cancel(key CancelKey) bool {
	h := &k.shards[key.ProcessID%shardCount]

	h.lock.Lock()
	e, ok := h.sessions[key.ProcessID]
	h.lock.Unlock()

	if !ok || subtle.ConstantTimeCompare(e.secret, key.Secret) != 1 {
		return false
	}

	e.session.cancelRunning()

	return true
}

func (h *keyShard) add(id uint32, e keyEntry) bool {
	h.lock.Lock()
	defer h.lock.Unlock()

	if _, taken := h.sessions[id]; taken {
		return false
	}

	if h.sessions == nil {
		h.sessions = make(map[uint32]keyEntry)
	}

	h.sessions[id] = e

	return true
}
