package labsession

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Server creates the sessions of a proxy and holds their shared dependencies. The exported fields must be set before
// the first call of Open.
type Server struct {
	Gateway      lab.Gateway
	Catalog      lab.Catalog
	Clock        lab.Clock
	Random       lab.Random // cryptographically secure: it generates the secrets of cancel keys
	TokenCodec   *labtoken.Codec
	RetryBudget  RetryBudget
	Keys         *CancelKeys
	MinPositions lab.MinPositionStore // stores the minimum positions of named sessions; nil disables this
	DecoySecret  []byte               // derives the decoy credentials of unknown users; equal on all proxies
	Log          zerolog.Logger

	// ForwardCancel forwards a cancel request whose key belongs to no session of this proxy. When it is nil, such
	// requests are dropped.
	ForwardCancel func(ctx context.Context, proxy uint32, key CancelKey)

	// Parameters are ParameterStatus values reported at startup; they extend and override the defaults. They must equal
	// the values on a new upstream connection, since a client's setting with the same value is not replayed there.
	Parameters map[string]string

	// Size limits; zero selects the default.
	MessageLimit int // bytes of one message and of one batch; default labframe.MessageLimit
	PendingLimit int // received bytes not yet handled; default 2 * MessageLimit

	// Deadlines of requests whose organisation sets none; zero selects the default.
	ReadDeadline       time.Duration // default 5 s
	WriteDeadline      time.Duration // default 10 s
	DeferrableDeadline time.Duration // default 60 s

	// MinPositionTimeout bounds how long the response to a write is delayed until its minimum position is stored; default
	// 1 s.
	MinPositionTimeout time.Duration

	Counters Counters

	// ObserveLatency is called with the latency of each batch run at a gateway: the time from the start of its handling
	// to the end of its response. It may be nil.
	ObserveLatency func(reads bool, latency time.Duration)

	shared sharedStatements
}

// Open returns the session of a new connection.
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

// history returns the term history of a database, or nil when the catalog does not contain the database.
func (v *Server) history(database string) lab.TermHistory {
	if d, ok := v.Catalog.Database(database); ok {
		return d.History
	}

	return nil
}
