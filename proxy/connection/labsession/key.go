package labsession

import (
	"crypto/subtle"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Layout of a cancel key's process id: 12 bits for the proxy, 19 bits for the session; the sign bit stays clear
// because some clients read the id as a signed number.
const (
	sessionBits = 19
	proxyBits   = 12
	shardCount  = 64
)

// MaxProxyNumber is the highest proxy number that fits into a cancel key.
const MaxProxyNumber = 1<<proxyBits - 1

// ProxyNumber derives a proxy's number in cancel keys from the instance's name. Two proxies may share a number, and then
// the secret of a key tells them apart.
func ProxyNumber(id lab.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % (MaxProxyNumber + 1))
}

// ErrKeysExhausted is returned when a proxy has more sessions than cancel keys.
var ErrKeysExhausted = errors.New("no free cancel key")

// CancelKey identifies a session to a cancel request.
type CancelKey struct {
	ProcessID uint32 `msgpack:"p"`
	Secret    []byte `msgpack:"s"`
}

// Proxy returns the number of the proxy that issued the key.
func (k CancelKey) Proxy() uint32 {
	return k.ProcessID >> sessionBits
}

// CancelKeys finds the sessions of one proxy by their cancel keys.
type CancelKeys struct {
	// Proxy is this proxy's number, at most MaxProxy; other proxies may have the same one.
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

// add registers a session and returns its process id.
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

// Cancel cancels what the session with the key runs and reports whether the key is valid.
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
