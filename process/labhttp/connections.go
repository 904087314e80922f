package labhttp

import (
	"container/list"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// connectionBytes is the memory of a connection that has sent nothing: its goroutine and its buffers.
	connectionBytes = 16 << 10
	// readCopies is the memory for a byte of a request that is being read: headers are kept decoded, and a body in a slice
	// that grows by copying.
	readCopies = 3
	// writeTimeout bounds the time from the header of a request to the end of the response: 4 MiB take 17 s at 2 Mbit/s.
	writeTimeout = time.Minute
)

// limitedListener accepts connections within the limits of a server.
type limitedListener struct {
	net.Listener

	server *Server
	mutex  sync.Mutex
	open   list.List // open connections, those whose latest request ended first, or that have sent none, at the front
}

// connection is an accepted connection that counts the bytes of the request that is being read.
type connection struct {
	net.Conn

	listener *limitedListener
	account  lab.MemoryAccount
	element  *list.Element // in the listener's list
	counted  int           // bytes of the account for the present request; net/http reads from one goroutine at a time
	closing  sync.Once
}

// Accept returns the next connection. At the limit it closes the one that has waited longest for a complete request.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http retries after errors that it knows
	}

	l.makeRoom()

	n := &connection{Conn: c, listener: l}
	n.account = l.server.Memory.Open(func() {
		l.server.ClosedForMemory.Add(1)
		l.server.Log.Warn().Str("from", c.RemoteAddr().String()).Int("bytes", n.account.Bytes()).Msg("http_client_closed_for_memory")
		_ = c.Close() // net/http then ends its goroutine, which closes n
	})

	l.mutex.Lock()
	n.element = l.open.PushBack(n)
	l.mutex.Unlock()

	n.account.Add(connectionBytes)

	return n, nil
}

func (l *limitedListener) makeRoom() {
	l.mutex.Lock()
	first := l.open.Front()
	full := l.server.MaxConnections > 0 && l.open.Len() >= l.server.MaxConnections
	l.mutex.Unlock()

	if !full {
		return
	}

	l.server.OverLimit.Add(1)
	l.server.Log.Warn().Int("limit", l.server.MaxConnections).Msg("too_many_http_connections")

	if n, ok := first.Value.(*connection); ok {
		_ = n.Close() // an error means that it is closed already
	}
}

// observe is called when the state of a connection changes. After each request the connection begins anew.
func (l *limitedListener) observe(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}

	n, ok := c.(*connection)
	if !ok || state != http.StateIdle {
		return
	}

	n.account.Add(-n.counted)
	n.counted = 0

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.open.MoveToBack(n.element)
}

// Read reads from the client.
func (n *connection) Read(b []byte) (int, error) {
	count, err := n.Conn.Read(b)
	n.counted += count * readCopies
	n.account.Add(count * readCopies)

	return count, err //nolint:wrapcheck // net/http compares errors
}

// Close closes the connection.
func (n *connection) Close() error {
	n.closing.Do(func() {
		n.listener.mutex.Lock()
		n.listener.open.Remove(n.element)
		n.listener.mutex.Unlock()
		n.account.Close()
	})

	return n.Conn.Close() //nolint:wrapcheck // net/http ignores it
}
