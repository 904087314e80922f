package labsession

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Server holds what the sessions of a proxy share. Its fields are set before the first Open.
type Server struct {
	Gateway      lab.Gateway
	Catalog      lab.Routes
	Clock        lab.Clock
	Random       lab.Random // must be unpredictable, since cancel keys come from it
	TokenCodec   *labtoken.Codec
	RetryBudget  RetryBudget
	Keys         *CancelKeys
	MinPositions lab.FloorStore // of sessions that are known by name; nil keeps none
	DecoySecret  []byte         // keys the decoy salts of unknown users; the same on all proxies
	Log          zerolog.Logger

	// ForwardCancel passes on a cancel request whose key belongs to no session of this proxy; nil drops such requests.
	ForwardCancel func(ctx context.Context, proxy uint32, key CancelKey)

	// Parameters are the ParameterStatus values reported at startup in addition to and in place of the defaults. They
	// must be those of fresh upstream connections: a caller's setting that equals them is not replayed.
	Parameters map[string]string

	// Limits; zero values mean the defaults.
	MessageLimit int // bytes of one message and of one unit; labframe.MessageLimit
	PendingLimit int // received bytes that wait for their turn; 2 * MessageLimit

	// Deadlines of requests whose organisation states none; zero values mean the defaults.
	ReadDeadline       time.Duration // 5 s
	WriteDeadline      time.Duration // 10 s
	DeferrableDeadline time.Duration // 60 s

	// MinPositionTimeout bounds how long the answer to a write waits until its floor is kept; 1 s when zero.
	MinPositionTimeout time.Duration

	Counters Counters

	// ObserveLatency is told how long each unit took, from its arrival at a worker to its last answer; nil drops it.
	ObserveLatency func(reads bool, latency time.Duration)

	shared sharedStatements
}

// Open returns a session for a new connection.
func (v *Server) Open(conn Conn) *Session {
	return &Session{server: v, conn: conn, startup: &startupState{}}
}

func (v *Server) messageLimit() int {
	if v.MessageLimit > 0 {
		return v.MessageLimit
	}

	return labframe.MessageLimit
}

func (v *Server) pendingLimit() int {
	if v.PendingLimit > 0 {
		return v.PendingLimit
	}

	return 2 * v.messageLimit()
}

// history returns the term history of a database, empty when it is unknown.
func (v *Server) history(database string) lab.History {
	if d, ok := v.Catalog.Database(database); ok {
		return d.History
	}

	return nil
}
