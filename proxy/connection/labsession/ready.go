package labsession

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
)

var errClientDisconnected = errors.New("caller has left")

// endResponse ends the answer to a unit with what is left of it, a changed token, and ReadyForQuery.
func (s *Session) endResponse(out []byte) {
	if s.tokenChanged {
		s.tokenChanged = false
		out = append(out, s.tokenStatus()...)
	}

	if !s.flushing {
		out = append(out, encode(&pgproto3.ReadyForQuery{TxStatus: s.block.status()})...)
	}

	if len(out) == 0 {
		return
	}

	_ = s.write(out) // a failure is counted there, and the connection is closed
}

// tokenStatus encodes the report of the session token.
func (s *Session) tokenStatus() []byte {
	return encode(&pgproto3.ParameterStatus{Name: parameterToken, Value: s.server.TokenCodec.Encode(s.token)})
}

// raiseMinPosition returns the token with a position merged in.
func (s *Session) raiseMinPosition(p lab.Position) (labtoken.Token, bool) {
	t, changed := s.token.Raise(s.database, p, s.server.history(s.database))

	return t, changed || s.tokenChanged
}

// respondError answers a request with an error of the session. An open transaction fails with it, as in PostgreSQL.
func (s *Session) respondError(f *failure) {
	s.rollback()
	s.skipToSync = s.skipToSync || s.flushing
	s.endResponse(f.encode("ERROR"))
}

// rollback fails the block and ends what is open at a gateway, so that its connection can be used again.
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

// write passes bytes to the caller unless the session has ended.
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

		return errors.Newf("write answer: %w", err)
	}

	return nil
}
