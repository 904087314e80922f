package labtypedlistener

import (
	"container/list"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrecovery"
	"laburnumlock.dev/lab/proxy/connection/labreceivebuffer"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
)

// stoppingDetail is the text of faults of a proxy that stops.
const stoppingDetail = "the proxy is stopping"

// connection is one client connection. A goroutine handles the received messages in order. It ends when no complete
// message is left, and is started again when more bytes arrive.
type connection struct {
	listener *Listener
	socket   gnet.Conn
	codec    lab.ClientCodec
	opened   time.Time
	// abandoned is set after a panic. The mutex and the session must not be used any more.
	abandoned atomic.Bool

	account lab.MemoryAccount
	unsent  atomic.Int64  // bytes of memory that hold unsent responses in gnet, as counted; the event loop changes it
	closeBy time.Time     // latest time of the close that closeAfterWrites has begun; only the event loop uses it
	waiting *list.Element // in the listener's list of connections without a session, nil with one; the listener's mutex guards it

	mutex        sync.Mutex
	pending      labreceivebuffer.Buffer  // received bytes of messages that have not been handled
	pendingBytes int                      // memory of pending, as counted
	begun        time.Time                // when the first pending message began
	received     time.Time                // when the latest bytes arrived
	processing   bool                     // whether a goroutine runs process
	unanswered   bool                     // whether an operation has begun that has no answer yet
	closed       bool                     // no further message is handled
	session      *labtypedsession.Session // session of the client, nil before the startup
}

// receive appends received bytes to the pending ones, and starts process if it isn't running and a message may be
// complete. It returns false when more than maxPendingBytes would be pending.
func (n *connection) receive(b []byte) bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.closed {
		return true // the connection closes once its responses are sent
	}

	if n.pending.Len()+len(b) > maxPendingBytes {
		return false
	}

	n.received = time.Now()
	if n.pending.Len() == 0 {
		n.begun = n.received
	}

	mayEnd := n.codec.MayEnd(n.pending.Len(), b)
	n.pending.Append(b)
	n.countPendingLocked()

	if mayEnd && !n.processing {
		n.processing = true

		go n.process()
	}

	return true
}

// process handles messages until no complete one is left.
func (n *connection) process() {
	defer labrecovery.Recover(n.listener.Log, "client connection", func() {
		// The panic may have left locks of the session held, so the session is abandoned without them.
		n.abandoned.Store(true)
		n.closeAfterWrites()
	})

	for {
		o, size, ok := n.next()
		if !ok {
			// At this moment the client can't have sent its next request yet, unless it sends requests ahead.
			if n.listener.draining.Load() {
				n.closeIfIdle()
			}

			return
		}

		if !n.run(o, size*operationCopies) {
			n.closeForMemory("operation_exceeds_memory", size)
		}
	}
}

// run runs an operation that takes a number of bytes, and sends the response. It returns false if the memory budget has
// too little for the operation, which is not run then, or for the response.
func (n *connection) run(o lab.Operation, bytes int) bool {
	if !n.listener.Memory.Reserve(bytes) {
		return false
	}

	before := n.session.HeldBytes()
	r := n.session.Do(o)

	n.account.Add(n.session.HeldBytes() - before)
	n.listener.Memory.Release(bytes)

	size := responseBytes(r)
	if !n.listener.Memory.Reserve(size) {
		return false
	}

	if n.takeAnswer() {
		n.send(n.codec.AppendResult(make([]byte, 0, size), r))
	}

	n.listener.Memory.Release(size)

	if r.Fault == lab.FaultUnauthorized {
		n.mutex.Lock()
		n.closed = true
		n.mutex.Unlock()

		n.closeAfterWrites()
	}

	return true
}

// takeAnswer reports whether the caller is the one to answer the operation that has begun.
func (n *connection) takeAnswer() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	was := n.unanswered
	n.unanswered = false

	return was
}

// responseBytes returns about the size of an encoded response in bytes.
func responseBytes(r lab.OperationResult) int {
	const (
		rowOverhead      = 16
		responseOverhead = 64
	)

	size := responseOverhead + len(r.Detail) + len(r.Proof)
	for _, w := range r.Rows {
		size += len(w) + rowOverhead
	}

	return size
}

// next returns the next operation and the size of its message, or false when process must end.
func (n *connection) next() (lab.Operation, int, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	defer n.countPendingLocked()

	if n.closed || (n.session == nil && !n.startLocked()) {
		n.processing = false

		return lab.Operation{}, 0, false
	}

	o, end, size, err := n.decodeLocked()

	switch {
	case err != nil:
		n.listener.RequestLog.Info().Err(err).Str("database", n.session.Database).Msg("message_unreadable")
		n.send(n.codec.AppendRefusal(nil, lab.FaultMalformed, "message cannot be read"))
		n.closed = true
		n.closeAfterWrites()
	case end:
		n.closed = true
		n.closeAfterWrites()
	case size > 0:
		n.consumeLocked(size)
		n.unanswered = true

		return o, size, true
	}

	n.processing = false

	return lab.Operation{}, 0, false
}

// decodeLocked decodes the first pending message, if it is complete.
func (n *connection) decodeLocked() (o lab.Operation, end bool, size int, err error) {
	o, end, size, err = n.codec.Next(n.pending.First())
	for err == nil && !end && size == 0 && n.pending.Join() {
		o, end, size, err = n.codec.Next(n.pending.First())
	}

	return o, end, size, err
}

func (n *connection) consumeLocked(size int) {
	n.pending.Discard(size)
	n.begun = n.received
}

// countPendingLocked updates the account with the memory of the pending bytes.
func (n *connection) countPendingLocked() {
	before := n.pendingBytes
	n.pendingBytes = n.pending.Capacity()
	n.account.Add(n.pendingBytes - before)
}

// startLocked handles the startup message and reports whether the connection has a session. It returns false when the
// message is incomplete or the startup is refused.
func (n *connection) startLocked() bool {
	database, key, size, err := n.codec.Startup(n.pending.First())
	for err == nil && size == 0 && n.pending.Join() {
		database, key, size, err = n.codec.Startup(n.pending.First())
	}

	switch {
	case err != nil:
		n.refuse(lab.FaultMalformed, "startup cannot be read")

		return false
	case size == 0:
		return false
	}

	n.consumeLocked(size)

	if n.listener.refusing.Load() {
		n.refuse(lab.FaultUnavailable, stoppingDetail)

		return false
	}

	// databaseKnown may wait for the first configuration, and the event loop may need the mutex in the meantime.
	n.mutex.Unlock()
	known := n.listener.databaseKnown(database)
	n.mutex.Lock()

	if !known {
		n.refuse(lab.FaultNoDatabase, database)

		return false
	}

	l := n.listener

	if _, f := l.Directory.Organisation(database, key); f != lab.FaultNone {
		n.refuse(f, "the key is not valid")

		return false
	}

	n.session = &labtypedsession.Session{
		Database: database, Key: key, Directory: l.Directory, Clock: l.Clock, Log: l.RequestLog, Counters: l.Counters,
		Quota: l.Quota, Refusing: &l.refusing,
	}
	l.sessionStarted(n)
	n.send(n.codec.AppendReady(nil))

	return true
}

// refuse sends a refusal of the startup and closes the connection. The mutex must be held.
func (n *connection) refuse(f lab.Fault, detail string) {
	n.listener.RefusedStartups.Add(1)
	n.listener.RequestLog.Info().Stringer("fault", f).Str("detail", detail).Uint64("version", n.listener.Directory.Version()).
		Msg("startup_refused")
	n.send(n.codec.AppendRefusal(nil, f, detail))
	n.closed = true
	n.closeAfterWrites()
}

// databaseKnown reports whether the database has a route. It waits up to StartupWait for the first configuration.
func (l *Listener) databaseKnown(database string) bool {
	for end := time.Now().Add(l.StartupWait); ; {
		changed := l.Directory.Changed()

		if _, _, ok := l.Directory.Route(database); ok {
			return true
		}

		if l.Directory.Version() > 0 || time.Now().After(end) {
			return false
		}

		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

// send sends a response. It closes the connection if the client sends requests without reading the responses.
func (n *connection) send(b []byte) {
	// Fails only when the connection is closed.
	_ = n.socket.AsyncWrite(b, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is already closed
		}

		n.account.Add(-len(b))
		n.countUnsent(c)

		if c.OutboundBuffered()-len(b) <= maxUnreadBytes {
			return nil
		}

		n.listener.RequestLog.Info().Int("unread", c.OutboundBuffered()).Msg("client_does_not_read")

		return c.Close()
	})

	// If this evicts the connection, the event loop gets to the eviction after the write, and sees what the client has read.
	n.account.Add(len(b))
}

// countUnsent updates the account with the memory of unsent responses. It runs on the event loop.
func (n *connection) countUnsent(c gnet.Conn) {
	unsent := int64(c.OutboundBuffered() * unsentCopies)
	n.account.Add(int(unsent - n.unsent.Swap(unsent)))
}

// countUnsentLater updates the account on the event loop if the client had not read all responses.
func (n *connection) countUnsentLater() {
	if n.unsent.Load() == 0 {
		return
	}

	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err == nil {
			n.countUnsent(c)
		}

		return nil
	})
}

// evict closes the connection to free memory, unless the client has read its responses meanwhile.
func (n *connection) evict() {
	before := n.account.Bytes()

	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is already closed
		}

		n.countUnsent(c)

		if now := n.account.Bytes(); now < before/2 {
			n.account.Keep()

			return nil
		}

		n.listener.ClosedForMemory.Add(1)
		n.listener.RequestLog.Warn().Int("bytes", before).Msg("client_closed_for_memory")

		return c.Close()
	})
}

// closeForMemory closes the connection since a message of size bytes or its response can't be handled.
func (n *connection) closeForMemory(event string, size int) {
	n.listener.ClosedForMemory.Add(1)
	n.listener.RequestLog.Warn().Int("bytes", size).Msg(event)
	n.discard()
	n.closeNow()
}

// discard ends the session and frees the pending messages.
func (n *connection) discard() {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	n.closed = true
	n.pending.Reset()

	if n.session != nil {
		n.session.Close()
	}
}

// closeAfterWrites closes the connection once all earlier writes are sent, after unsentTimeout at the latest. gnet drops
// what the socket has not taken when it closes a connection.
func (n *connection) closeAfterWrites() {
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is already closed
		}

		now := time.Now()
		if n.closeBy.IsZero() {
			n.closeBy = now.Add(unsentTimeout)
		}

		if c.OutboundBuffered() > 0 && now.Before(n.closeBy) {
			time.AfterFunc(unsentPollInterval, n.closeAfterWrites)

			return nil
		}

		return c.Close()
	})
}

// closeNow closes the connection, and drops responses that have not been sent.
func (n *connection) closeNow() {
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is already closed
		}

		return c.Close()
	})
}

// startupTimedOut reports whether the client has not sent its startup message within startupTimeout.
func (n *connection) startupTimedOut() bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.session == nil && time.Since(n.opened) > startupTimeout
}

// messageTimedOut reports whether the client has begun a message and does not go on with it.
func (n *connection) messageTimedOut() bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.processing || n.pending.Len() == 0 {
		return false
	}

	return time.Since(n.received) > messagePauseTimeout || time.Since(n.begun) > messageTimeout
}

// unauthorised reports whether the client's key is no longer valid and the connection can be closed without losing an
// answer. An operation that is running, or an open transaction, ends with a fault instead.
func (n *connection) unauthorised() bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.session != nil && !n.processing && n.pending.Len() == 0 && n.session.Idle() && !n.session.Authorised()
}

// closeIfUnauthorised closes the connection if its client's key is no longer valid and no request waits for an answer.
func (n *connection) closeIfUnauthorised() {
	if !n.unauthorised() {
		return
	}

	// The event loop checks again: a request may have arrived since, and it would end without an answer.
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil || !n.unauthorised() || !atRest(c) {
			return nil //nolint:nilerr // the connection is already closed
		}

		return c.Close()
	})
}

// closeIfIdle closes the connection during a drain if no operation is running or pending, and no transaction is open.
// If refusing is set, it also closes a connection whose session is idle in a transaction.
func (n *connection) closeIfIdle() {
	if !n.mayClose() {
		return
	}

	// The event loop checks again: a request may have arrived since, and it would end without an answer.
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil || !n.mayClose() || !atRest(c) {
			return nil //nolint:nilerr // the connection is already closed
		}

		return c.Close()
	})
}

// mayClose reports whether a drain may close the connection now.
func (n *connection) mayClose() bool {
	if n.abandoned.Load() {
		return true
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.processing || n.closed || n.pending.Len() > 0 {
		return false
	}

	return n.session == nil || n.session.Idle() || n.listener.refusing.Load()
}

// finish answers the operation that runs with an unknown outcome, refuses the messages behind it, and closes the connection.
func (n *connection) finish() {
	if !n.abandoned.Load() {
		if b := n.finalAnswers(); len(b) > 0 {
			n.listener.RequestLog.Info().Str("database", n.session.Database).Msg("answered_at_stop")
			n.send(b)
		}
	}

	n.closeAfterWrites()
}

// finalAnswers ends the handling of messages and returns the answers to those that have none.
func (n *connection) finalAnswers() []byte {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	defer n.countPendingLocked()

	var out []byte

	if n.unanswered {
		out = n.codec.AppendResult(out, lab.OperationResult{Fault: lab.FaultUnknown, Detail: stoppingDetail, Status: lab.StatusIdle})
	}

	for !n.closed && n.session != nil {
		_, end, size, err := n.decodeLocked()
		if err != nil || end || size == 0 {
			break
		}

		n.consumeLocked(size)
		out = n.codec.AppendResult(out, lab.OperationResult{Fault: lab.FaultBusy, Detail: stoppingDetail, Status: lab.StatusIdle})
	}

	n.unanswered, n.closed = false, true

	return out
}

// atRest reports whether all responses of the connection are sent and no request has arrived.
func atRest(c gnet.Conn) bool {
	return c.OutboundBuffered() == 0 && !requestWaits(c)
}

// requestWaits reports whether the socket has received bytes that have not been read.
func requestWaits(c gnet.Conn) bool {
	var one [1]byte

	count, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	return err == nil && count > 0
}

// close ends the session of a connection that has been closed.
func (n *connection) close() {
	n.account.Close()

	if n.abandoned.Load() {
		return
	}

	n.discard()
}
