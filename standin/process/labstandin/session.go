package labstandin

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// session serves one client connection.
type session struct {
	member       *Member
	conn         net.Conn
	id           uint64 // connection ID, which the client receives as process ID
	context      context.Context
	cancel       context.CancelFunc
	unresponsive atomic.Bool // whether the session has stopped responding and executing statements
	counted      bool        // whether Counters.OpenConnections includes the session; guarded by the group's lock

	backend            *pgproto3.Backend
	saslStarted        bool
	secretKey          []byte // key that a cancel request must contain
	preparedStatements map[string]*preparedStatement
	portals            map[string]*portal
	settings           map[string]string // values of the settings that were set, by name
	savedSettings      map[string]string // values before SET LOCAL, restored after the transaction; empty if not set
	dropResponse       bool              // whether to close the connection instead of sending the next response
	transaction        *transaction      // open transaction, nil when there is none
	skipToSync         bool              // whether messages are ignored until Sync, after an extended query has failed

	interruptLock sync.Mutex         // guards interrupt
	interrupt     context.CancelFunc // cancels the running statement; nil when none runs
}

// Write sends bytes to the client. If the connection is unresponsive, Write discards them.
func (s *session) Write(b []byte) (int, error) {
	if s.unresponsive.Load() {
		return len(b), nil
	}

	n, err := s.conn.Write(b)
	if err != nil {
		return n, errors.Newf("write to client: %w", err)
	}

	return n, nil
}

func (s *session) run() {
	defer s.close()

	stop := context.AfterFunc(s.context, func() { _ = s.conn.Close() })
	defer stop()

	s.backend = pgproto3.NewBackend(s.conn, s)

	if err := s.startUp(); err != nil {
		return
	}

	for {
		if err := s.serveMessage(); err != nil {
			return
		}
	}
}

func (s *session) serveMessage() error {
	message, err := s.backend.Receive()
	if err != nil {
		return errors.Newf("read message: %w", err)
	}

	err = s.member.lockWhenThawed(s.context)
	s.member.group.lock.Unlock()

	if err != nil {
		return err
	}

	if s.unresponsive.Load() {
		return s.discardInput()
	}

	return s.handle(message)
}

// discardInput reads and discards all data until the client closes the connection.
func (s *session) discardInput() error {
	_, _ = io.Copy(io.Discard, s.conn)
	return errClosed
}

func (s *session) close() {
	s.cancel()
	_ = s.conn.Close()

	g := s.member.group
	g.lock.Lock()
	defer g.lock.Unlock()

	delete(s.member.sessions, s.id)
	s.member.releaseConnection(s)
}

// flush sends the buffered responses after the member's response delay.
func (s *session) flush() error {
	err := s.member.lockWhenThawed(s.context)
	delay := s.member.responseDelay
	s.member.group.lock.Unlock()

	if s.dropResponse {
		return errClosed
	}

	if err == nil {
		err = sleep(s.context, delay)
	}

	if err != nil {
		return err
	}

	if err := s.backend.Flush(); err != nil {
		return errors.Newf("send response: %w", err)
	}

	return nil
}

func (s *session) sendReady() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.transactionStatus()})
	return s.flush()
}

func (s *session) transactionStatus() byte {
	switch {
	case s.transaction == nil || s.transaction.implicit:
		return 'I'
	case s.transaction.failed:
		return 'E'
	}

	return 'T'
}

// sleep waits for the duration d. It returns errClosed if the context is canceled before the duration has passed.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errClosed
	}
}
