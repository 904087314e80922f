package labsession

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
)

var errLeft = errors.New("caller has left")

// ready ends the answer to a unit with what is left of it, a changed token, and ReadyForQuery.
func (s *Session) ready(out []byte) {
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
	return encode(&pgproto3.ParameterStatus{Name: parameterToken, Value: s.server.Codec.Encode(s.token)})
}

// raise returns the token with a position merged in.
func (s *Session) raise(p lab.WALPosition) (labtoken.Token, bool) {
	t, changed := s.token.Raise(s.database, p, s.server.history(s.database))

	return t, changed || s.tokenChanged
}

// refuse answers a request with an error of the session. An open transaction fails with it, as in PostgreSQL.
func (s *Session) refuse(f *failure) {
	s.rollback()
	s.skipping = s.skipping || s.flushing
	s.ready(f.encode("ERROR"))
}

// rollback fails the block and ends what is open at a gateway, so that its connection can be used again.
func (s *Session) rollback() {
	t := s.block.bound
	s.block.fail()

	if t == nil {
		return
	}

	ctx, done := s.watch()
	defer done()

	u := unit{simple: true, text: "ROLLBACK"}
	if r, err := t.Run(ctx, u.wire(false), io.Discard); err == nil && r.Status != statusIdle {
		t.Close()
	}
}

// write passes bytes to the caller unless the session has ended.
func (s *Session) write(out []byte) error {
	s.lock.Lock()
	ended := s.ended
	s.lock.Unlock()

	if ended {
		s.server.Counters.LateAnswers.Add(1)

		return errLeft
	}

	if err := s.conn.Write(out); err != nil {
		s.server.Counters.LateAnswers.Add(1)

		return errors.Newf("write answer: %w", err)
	}

	return nil
}
