package labfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
)

const tickInterval = 100 * time.Millisecond

// handler implements the event callbacks of gnet for a Listener.
type handler struct {
	gnet.BuiltinEventEngine

	listener *Listener
	started  chan struct{} // closed when the engine has started
}

// OnBoot stores the address that the engine is bound to.
func (h *handler) OnBoot(e gnet.Engine) gnet.Action {
	h.listener.engine = e

	address, err := listenAddress(e)
	if err != nil {
		h.listener.Log.Error().Err(err).Msg("listen_failed")

		return gnet.Shutdown
	}

	h.listener.boundAddress.Store(&address)
	h.listener.Log.Info().Str("address", address).Msg("listening")
	close(h.started)

	return gnet.None
}

// OnOpen opens a session for a new connection. It refuses the connection if the limit is exceeded or the proxy drains.
func (h *handler) OnOpen(s gnet.Conn) ([]byte, gnet.Action) {
	l := h.listener
	l.Counters.Accepted.Add(1)

	l.Counters.Open.Add(1)

	if l.Counters.Open.Value() > int64(l.MaxConnections) {
		return h.refuse("53300", "sorry, too many clients already")
	}

	if l.draining.Load() {
		return h.refuse("57P03", "the proxy is shutting down")
	}

	c := &connection{listener: l, socket: s, writeLimit: l.OutboundLimit}
	c.session = l.Server.Open(c)
	s.SetContext(c)
	c.shard().add(c, time.Now())

	if l.draining.Load() {
		c.session.Drain() // Listener.Drain may have listed the open connections before this one was added
	}

	return nil, gnet.None
}

func (h *handler) refuse(code, message string) ([]byte, gnet.Action) {
	h.listener.Counters.Refused.Add(1)

	out, _ := (&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message,
	}).Encode(nil)

	return out, gnet.Close
}

// OnClose ends the session of the connection.
func (h *handler) OnClose(s gnet.Conn, _ error) gnet.Action {
	h.listener.Counters.Open.Add(-1)

	if c, ok := s.Context().(*connection); ok {
		c.shard().remove(c)
		c.markClosed()
		c.session.ConnectionClosed()
	}

	return gnet.None
}

// OnTraffic passes received bytes to the session.
func (h *handler) OnTraffic(s gnet.Conn) gnet.Action {
	c, ok := s.Context().(*connection)
	if !ok {
		return gnet.Close
	}

	data, err := s.Next(-1)
	if err != nil {
		return gnet.Close
	}

	h.listener.Counters.BytesIn.Add(int64(len(data)))

	if c.closing {
		return gnet.None
	}

	c.session.Receive(data)

	if !c.authenticated && c.session.Ready() {
		c.authenticated = true
		c.shard().removeStarting(c)
	}

	return gnet.None
}

// OnTick aborts connections that have exceeded the startup deadline, and continues the close of closing connections.
func (h *handler) OnTick() (time.Duration, gnet.Action) {
	cutoff := time.Now().Add(-h.listener.StartupDeadline)

	for i := range h.listener.shards {
		for _, c := range h.listener.shards[i].overdue(cutoff) {
			h.listener.Counters.StartupTimeouts.Add(1)
			h.listener.shards[i].removeStarting(c)
			c.abort()
		}

		for _, c := range h.listener.shards[i].closingConnections() {
			c.runOnLoop(c.advanceClose)
		}
	}

	return tickInterval, gnet.None
}
