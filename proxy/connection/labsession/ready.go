package labsession

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
)

var errClientDisconnected = errors.New("client has disconnected")

// endResponse sends the rest of the response to a batch, the token if it changed and, unless withholdReady is
// set, ReadyForQuery.
func (s *Session) endResponse(out []byte) {
	if s.tokenChanged {
		s.tokenChanged = false
		out = append(out, s.tokenStatus()...)
	}

	if !s.withholdReady {
		out = append(out, encode(&pgproto3.ReadyForQuery{TxStatus: s.block.status()})...)
	}

	if len(out) == 0 {
		return
	}

	_ = s.write(out) // on an error, the connection is closed and write has counted the event
}

// tokenStatus encodes the ParameterStatus message with the session token.
func (s *Session) tokenStatus() []byte {
	return encode(&pgproto3.ParameterStatus{Name: parameterToken, Value: s.server.TokenCodec.Encode(s.token)})
}

// raiseMinPosition returns the token with the minimum position raised to at least p, and whether the token has changed
// since it was last reported.
func (s *Session) raiseMinPosition(p lab.WALPosition) (labtoken.Token, bool) {
	t, changed := s.token.Raise(s.database, p, s.server.history(s.database))

	return t, changed || s.tokenChanged
}

// respondError sends an error that the session itself has detected. As in PostgreSQL, the error aborts an open
// transaction.
func (s *Session) respondError(f *failure) {
	s.rollback()
	s.skipToSync = s.skipToSync || s.withholdReady
	s.endResponse(f.encode("ERROR"))
}

// rollback marks the transaction block as failed. If a transaction is open at a gateway, it rolls the transaction back,
// so that the upstream connection can be reused.
func (s *Session) rollback() {
	t := s.block.transaction
	s.block.fail()

	if t == nil {
		return
	}

	ctx, done := s.startBatchContext()
	defer done()

	b := messageBatch{simple: true, text: "ROLLBACK"}
	if r, err := t.Run(ctx, b.forGateway(false), io.Discard); err == nil && r.Status != statusIdle {
		t.Close()
	}
}

// write sends bytes to the client unless the session is closed.
func (s *Session) write(out []byte) error {
	s.lock.Lock()
	closed := s.closed
	s.lock.Unlock()

	if closed {
		s.server.Counters.LateResponses.Add(1)

		return errClientDisconnected
	}

	if err := s.conn.Write(out); err != nil {
		s.server.Counters.LateResponses.Add(1)

		return errors.Newf("write response to client: %w", err)
	}

	return nil
}
