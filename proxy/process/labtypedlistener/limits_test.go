package labtypedlistener

import (
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labmemorybudget"
)

func (s *fakeSocket) SetContext(any) {}

// waitingCodec reads no message until one may end, and refuses startups.
type waitingCodec struct{ fakeCodec }

func (waitingCodec) MayEnd(int, []byte) bool { return false }

func (waitingCodec) AppendRefusal(out []byte, _ lab.Fault, _ string) []byte { return append(out, '!') }

// TestMaxConnections guards against a proxy that runs out of descriptors, and against sessions that end for a crowd that
// sends no startup.
func TestMaxConnections(t *testing.T) {
	l := &Listener{
		MaxConnections: 2, Codec: func() lab.ClientCodec { return waitingCodec{} }, connections: map[*connection]struct{}{},
		Memory: &labmemorybudget.Budget{Clock: labclock.New()},
	}
	open := func() (*fakeSocket, gnet.Action) {
		s := &fakeSocket{}
		_, a := l.OnOpen(s)

		return s, a
	}

	session, _ := open()
	for n := range l.connections {
		l.sessionStarted(n)
	}

	silent, _ := open()
	newer, action := open()

	silent.runLoop()
	session.runLoop()
	assert.Equal(t, action, gnet.None)
	assert.Assert(t, silent.isClosed() && !session.isClosed() && !newer.isClosed())

	for n := range l.connections {
		l.sessionStarted(n)
	}

	_, action = open()
	assert.Equal(t, action, gnet.Close, "all connections have sessions")
	assert.Equal(t, l.RefusedConnections.Value(), int64(2))
}

// TestMessageTimeout guards against clients that hold memory and a descriptor with half a message, and against the end of
// sessions that are idle or slow.
func TestMessageTimeout(t *testing.T) {
	for _, c := range []struct {
		name            string
		begun, received time.Duration // ago
		data            string
		want            bool
	}{
		{"idle between messages", time.Hour, time.Hour, "", false},
		{"slow message", messageTimeout - time.Minute, messagePauseTimeout - time.Second, "x", false},
		{"message that goes on no more", messagePauseTimeout + time.Second, messagePauseTimeout + time.Second, "x", true},
		{"message that takes too long", messageTimeout + time.Second, time.Second, "x", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, _, _ := newConnection(t, waitingCodec{})
			assert.Assert(t, n.receive([]byte(c.data)))
			n.begun, n.received = time.Now().Add(-c.begun), time.Now().Add(-c.received)
			assert.Equal(t, n.messageTimedOut(), c.want)
		})
	}
}

// TestMemoryLimit guards against a crowd with large messages that takes more memory than the budget, and against memory
// that stays counted when it has gone.
func TestMemoryLimit(t *testing.T) {
	b := &labmemorybudget.Budget{Limit: 1 << 20, Clock: labclock.New()}
	evictable := func() (*connection, *fakeSocket) {
		n, socket, _ := newConnection(t, waitingCodec{})
		n.listener.Memory = b
		n.account = b.Open(n.evict)

		return n, socket
	}

	large, largeSocket := evictable()
	ordinary, ordinarySocket := evictable()

	assert.Assert(t, ordinary.receive(make([]byte, 300)))
	assert.Assert(t, large.receive(make([]byte, 1<<20)))
	ordinarySocket.runLoop()
	largeSocket.runLoop()
	assert.Assert(t, largeSocket.isClosed() && !ordinarySocket.isClosed())
	large.close()
	assert.Equal(t, b.Used(), int64(300))

	reader, readerSocket := evictable()
	reader.send(make([]byte, 2<<20)) // the client reads it before the event loop closes the connection
	readerSocket.runLoop()
	assert.Assert(t, !readerSocket.isClosed())

	assert.Assert(t, !ordinary.run(lab.Operation{}, 2<<20), "an operation for which no memory is left")
	ordinary.session.Close()
}

// TestHeldBytes guards against session values and prepared statements that are not counted.
func TestHeldBytes(t *testing.T) {
	n, _, _ := newConnection(t, fakeCodec{})
	do := func(kind lab.OperationKind, argument string) int {
		n.session.Do(lab.Operation{Kind: kind, Name: "n", Argument: argument})

		return n.session.HeldBytes()
	}

	first := do(lab.OperationSet, "value")
	assert.Assert(t, first > 0)
	assert.Equal(t, do(lab.OperationSet, "other"), first)
	assert.Equal(t, do(lab.OperationPrepare, "value"), 2*first)
	assert.Equal(t, do(lab.OperationPrepare, "other"), 2*first)
	assert.Equal(t, do(lab.OperationDeallocate, ""), first)
}
