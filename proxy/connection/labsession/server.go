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
	MinPositions lab.MinPositionStore // stores the minimum positions of named sessions; when nil, they are not stored
	DecoySecret  []byte               // derives the decoy credentials of unknown users; equal on all proxies
	Log          zerolog.Logger

	// ForwardCancel forwards a cancel request whose key belongs to no session of this proxy; its argument proxy is the
	// proxy number in the key. When ForwardCancel is nil, such requests are dropped.
	ForwardCancel func(ctx context.Context, proxy uint32, key CancelKey)

	// Parameters are ParameterStatus values reported at startup; they extend and override the defaults. They must equal
	// the values on a new upstream connection: if a client sets a parameter to the same value, the session does not
	// replay the setting on upstream connections.
	Parameters map[string]string

	// Size limits; zero selects the default.
	MessageLimit int // largest message and largest batch, in bytes; default labframe.MessageLimit
	PendingLimit int // bytes received from a client but not yet handled; default 2 * MessageLimit

	// Deadlines, counted from the start of a request, for organisations that set none; zero selects the default.
	ReadDeadline       time.Duration // default 5 s
	WriteDeadline      time.Duration // default 10 s
	DeferrableDeadline time.Duration // default 60 s

	// MinPositionTimeout bounds the delay of the response to a write while its minimum position is being stored; default
	// 1 s.
	MinPositionTimeout time.Duration

	Counters Counters

	// ObserveLatency is called after each batch that requires a gateway. The latency is the time from the start of the
	// handling of the batch to the end of its response; reads is set if the batch only reads. It may be nil.
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
