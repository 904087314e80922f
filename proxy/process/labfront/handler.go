package labfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
)

const tick = 100 * time.Millisecond

// handler receives gnet's events.
type handler struct {
	gnet.BuiltinEventEngine

	front  *Front
	booted chan struct{}
}

// OnBoot notes the address that is listened on.
func (h *handler) OnBoot(e gnet.Engine) gnet.Action {
	h.front.engine = e

	a, err := listenAddress(e)
	if err != nil {
		h.front.Log.Error().Err(err).Msg("listen_failed")

		return gnet.Shutdown
	}

	h.front.address.Store(&a)
	h.front.Log.Info().Str("address", a).Msg("listening")
	close(h.booted)

	return gnet.None
}

// OnOpen starts a session or refuses the connection.
func (h *handler) OnOpen(s gnet.Conn) ([]byte, gnet.Action) {
	f := h.front
	f.Counters.Accepted.Add(1)

	f.Counters.Open.Add(1)

	if f.Counters.Open.Value() > int64(f.MaxConnections) {
		return h.refuse("53300", "sorry, too many clients already")
	}

	if f.draining.Load() {
		return h.refuse("57P03", "the proxy is shutting down")
	}

	c := &connection{front: f, socket: s, limit: f.OutboundLimit}
	c.session = f.Server.Open(c)
	s.SetContext(c)
	c.shard().add(c, time.Now())

	if f.draining.Load() {
		c.session.Drain() // Drain may have listed the connections before this one was added
	}

	return nil, gnet.None
}

func (h *handler) refuse(code, message string) ([]byte, gnet.Action) {
	h.front.Counters.Refused.Add(1)

	out, _ := (&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message,
	}).Encode(nil)

	return out, gnet.Close
}

// OnClose ends the session.
func (h *handler) OnClose(s gnet.Conn, _ error) gnet.Action {
	h.front.Counters.Open.Add(-1)

	if c, ok := s.Context().(*connection); ok {
		c.shard().remove(c)
		c.end()
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

	h.front.Counters.BytesIn.Add(int64(len(data)))

	if c.leaving {
		return gnet.None
	}

	c.session.Receive(data)

	if !c.ready && c.session.Ready() {
		c.ready = true
		c.shard().started(c)
	}

	return gnet.None
}

// OnTick closes connections whose startup takes too long.
func (h *handler) OnTick() (time.Duration, gnet.Action) {
	before := time.Now().Add(-h.front.StartupDeadline)

	for i := range h.front.shards {
		for _, c := range h.front.shards[i].overdue(before) {
			h.front.Counters.StartupTimeouts.Add(1)
			h.front.shards[i].started(c)
			c.cut()
		}

		for _, c := range h.front.shards[i].departing() {
			c.onLoop(c.linger)
		}
	}

	return tick, gnet.None
}
