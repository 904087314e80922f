package labrandom

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
)

// Random implements lab.Random; it is safe for concurrent use.
type Random struct {
	mutex  sync.Mutex
	source *rand.Rand
}

// New returns a generator with a random seed.
func New() *Random {
	return NewSeeded(rand.Uint64())
}

// NewSeeded returns a generator whose sequence of numbers depends only on the seed.
func NewSeeded(seed uint64) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, seed))}
}

// Uint64 returns a uniformly distributed number.
func (r *Random) Uint64() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.source.Uint64()
}

// Secure implements lab.Random with cryptographically secure numbers.
type Secure struct{}

// Uint64 returns a uniformly distributed number from the operating system.
func (Secure) Uint64() uint64 {
	var b [8]byte

	_, _ = cryptorand.Read(b[:]) // Read never fails

	return binary.LittleEndian.Uint64(b[:])
}
