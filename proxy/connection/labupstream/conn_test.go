package labupstream

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}

	return out
}

func simpleBatch(sql string) lab.MessageBatch {
	return lab.MessageBatch{Messages: encode(&pgproto3.Query{String: sql}), SimpleQuery: true, ReadOnly: true}
}

func extendedBatch(messages ...pgproto3.FrontendMessage) lab.MessageBatch {
	return lab.MessageBatch{Messages: encode(append(messages, &pgproto3.Sync{})...), ReadOnly: true}
}

// runBatch runs a batch with the position query and returns the types of the response messages. A vertical bar separates
// the forwarded messages from the withheld ones.
func runBatch(t *testing.T, c *Conn, batch lab.MessageBatch) (string, Result, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()

	var response bytes.Buffer

	result, err := c.Run(ctx, batch, &response, true)
	received := messageTypes(response.Bytes())

	if len(result.Withheld) > 0 {
		received += "|" + messageTypes(result.Withheld)
	}

	return received, result, err
}

func messageTypes(data []byte) string {
	all := ""

	for len(data) > 0 {
		m, rest, err := splitMessage(data)
		if err != nil {
			return all + "?"
		}

		all, data = all+string(m.messageType), rest
	}

	return all
}

func sendRow(b *pgproto3.Backend) {
	b.Send(&pgproto3.RowDescription{})
	b.Send(&pgproto3.DataRow{})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// Guards against responses that contain messages of the position query, or lack messages of the batch.
func TestRun(t *testing.T) {
	f := newFakeUpstream(t)
	f.scripts["SELECT"] = sendRow
	f.scripts["FAIL"] = func(b *pgproto3.Backend) { b.Send(&pgproto3.ErrorResponse{Code: "22012"}) }
	f.scripts["FAIL LATE"] = func(b *pgproto3.Backend) { sendRow(b); b.Send(&pgproto3.ErrorResponse{Code: "22012"}) }
	f.scripts["WIDE"] = func(b *pgproto3.Backend) {
		b.Send(&pgproto3.RowDescription{})
		b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, bufferSize)}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	}
	c := f.dial(t)

	responds := func(batch lab.MessageBatch, want, sqlState string) func(*testing.T) {
		return func(t *testing.T) {
			got, result, err := runBatch(t, c, batch)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
			assert.Equal(t, result.SQLState, sqlState)
			assert.Equal(t, result.Position, Position{
				InRecovery: true,
				Replayed:   lab.WALPosition{Term: 3, Offset: 1<<32 | 0xA}, Received: lab.WALPosition{Term: 3, Offset: 1<<32 | 0xB},
			})
			assert.Assert(t, !c.Broken())
		}
	}

	write := simpleBatch("INSERT")
	write.ReadOnly = false

	t.Run("read", responds(simpleBatch("SELECT"), "|TDC", ""))
	t.Run("write", responds(write, "|C", ""))
	t.Run("wide read is forwarded", responds(simpleBatch("WIDE"), "TD|C", ""))
	wide := simpleBatch("WIDE")
	wide.ReadOnly = false
	t.Run("wide write is forwarded up to its completion", responds(wide, "TD|C", ""))
	t.Run("error", responds(simpleBatch("FAIL"), "|E", "22012"))
	t.Run("error after a result", responds(simpleBatch("FAIL LATE"), "|TDCE", "22012"))
	t.Run("error within an extended batch", responds(
		extendedBatch(&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Execute{}), "|E", "26000"))
}

// Guards against executing a client's prepared statement on a pooled connection that lacks it or has another statement
// under its name, and against a Parse for a name that already exists on the connection.
func TestPreparedStatements(t *testing.T) {
	f := newFakeUpstream(t)
	c := f.dial(t)
	executeNamed := func(query string) lab.MessageBatch {
		batch := extendedBatch(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{})
		batch.Statements = []lab.PreparedStatement{{Name: "s", Query: query}}

		return batch
	}
	check := func(batch lab.MessageBatch, want, sent string) func(*testing.T) {
		return func(t *testing.T) {
			f.takeReceived()
			got, _, err := runBatch(t, c, batch)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
			assert.Equal(t, f.takeReceived(), sent)
		}
	}
	clientParse := extendedBatch(
		&pgproto3.Parse{Name: "s", Query: "Q3"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{})
	execute := simpleBatch("EXECUTE p")
	execute.Statements = []lab.PreparedStatement{{Name: "p", Query: "Q4"}}
	invalid := simpleBatch("EXECUTE b")
	invalid.Statements = []lab.PreparedStatement{{Name: "b", Query: "BAD"}}

	t.Run("prepared first", check(executeNamed("Q1"), "|2C", "parse:s run:Q1"))
	t.Run("known", check(executeNamed("Q1"), "|2C", "run:Q1"))
	t.Run("other text", check(executeNamed("Q2"), "|2C", "close:s parse:s run:Q2"))
	t.Run("parsed by the client", check(clientParse, "|12C", "close:s parse:s run:Q3"))
	t.Run("after the client's parse", check(executeNamed("Q3"), "|2C", "run:Q3"))
	t.Run("closed by the client", check(extendedBatch(&pgproto3.Close{ObjectType: 'S', Name: "s"}), "|3", "close:s"))
	t.Run("prepared again", check(executeNamed("Q3"), "|2C", "parse:s run:Q3"))
	t.Run("ahead of a simple query", check(execute, "|C", "parse:p run:EXECUTE p"))
	t.Run("failed preparation stops the query", check(invalid, "|E", "parse:b"))
	t.Run("reset forgets them", func(t *testing.T) {
		assert.NilError(t, c.Reset(context.Background()))
		assert.Equal(t, f.takeReceived(), "")

		change := simpleBatch("SET")
		change.ChangesSession = true
		_, _, err := runBatch(t, c, change)
		assert.NilError(t, err)
		assert.NilError(t, c.Reset(context.Background()))
		assert.Equal(t, f.takeReceived(), "run:SET run:DISCARD ALL")
		assert.Equal(t, len(c.statements), 0)
	})
}

// Guards against reuse of a connection after a failed batch has left it in an unknown state.
func TestBreak(t *testing.T) {
	f := newFakeUpstream(t)
	f.scripts["DROP"] = nil
	f.scripts["SLEEP"] = func(*pgproto3.Backend) { time.Sleep(250 * time.Millisecond) }
	f.scripts["COPY"] = func(b *pgproto3.Backend) { b.Send(&pgproto3.CopyInResponse{}) }
	f.scripts["CLOSED"] = func(b *pgproto3.Backend) { b.Send(&pgproto3.CloseComplete{}) }
	f.scripts["PARSED"] = func(b *pgproto3.Backend) { b.Send(&pgproto3.ParseComplete{}) }
	f.scripts["LARGE"] = func(b *pgproto3.Backend) {
		b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 1<<17)}})
	}
	f.scripts["TWICE"] = func(b *pgproto3.Backend) { b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'}) }

	breaks := func(sql string, want error) func(*testing.T) {
		return func(t *testing.T) {
			c := f.dial(t)
			_, result, err := runBatch(t, c, simpleBatch(sql))
			assert.Assert(t, err != nil)
			assert.Assert(t, want == nil || errors.Is(err, want), "%v", err)
			assert.Assert(t, result.Sent)
			assert.Assert(t, c.Broken())

			_, result, err = runBatch(t, c, simpleBatch("AGAIN"))
			assert.ErrorIs(t, err, ErrBroken)
			assert.Assert(t, !result.Sent)
		}
	}

	t.Run("dropped", breaks("DROP", nil))
	t.Run("silent", breaks("SLEEP", ErrSilent))
	t.Run("copy", breaks("COPY", ErrUnexpected))
	t.Run("completion of another close", breaks("CLOSED", ErrUnexpected))
	t.Run("completion of another parse", breaks("PARSED", ErrUnexpected))
	t.Run("ready too early", breaks("TWICE", ErrUnexpected))
	t.Run("too large", breaks("LARGE", ErrTooLarge))
	t.Run("slow but accepted", func(t *testing.T) {
		c := f.dial(t)
		silences := 0
		c.OnSilence = func(context.Context, time.Duration) error { silences++; return nil }
		_, _, err := runBatch(t, c, simpleBatch("SLEEP"))
		assert.NilError(t, err)
		assert.Assert(t, silences >= 2)
	})
	t.Run("cancelled context", func(t *testing.T) {
		c := f.dial(t)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()

		c.OnSilence = func(context.Context, time.Duration) error { return nil }
		startedAt := time.Now()
		_, err := c.Run(ctx, simpleBatch("SLEEP"), &bytes.Buffer{}, false)
		assert.Assert(t, time.Since(startedAt) < 90*time.Millisecond, "waited for the progress deadline")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, c.Broken())
	})
	t.Run("malformed batch is not sent", func(t *testing.T) {
		c := f.dial(t)
		for _, messages := range [][]byte{
			{},
			{'Q'},
			{'Q', 0, 0, 0, 9, 'x'},
			encode(&pgproto3.Sync{}, &pgproto3.Sync{}),
			encode(&pgproto3.Query{String: "a"}, &pgproto3.Query{String: "b"}), encode(&pgproto3.Terminate{}, &pgproto3.Sync{}),
			encode(&pgproto3.Flush{}),
		} {
			_, result, err := runBatch(t, c, lab.MessageBatch{Messages: messages})
			assert.ErrorIs(t, err, ErrMalformed)
			assert.Assert(t, !result.Sent)
		}

		assert.Assert(t, !c.Broken())
	})
	t.Run("closed while idle", func(t *testing.T) {
		c := f.dial(t)
		_, _, err := runBatch(t, c, simpleBatch("ONE"))
		assert.NilError(t, err)
		time.Sleep(150 * time.Millisecond)
		assert.Assert(t, c.Idle(), "an open connection is refused after the progress deadline")

		_, _, err = runBatch(t, c, simpleBatch("DROP"))
		assert.Assert(t, err != nil)
		c.broken.Store(false)

		for deadline := time.Now().Add(time.Second); c.Idle(); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline))
		}
	})
}

// Guards against a Close, an Abort or a failed login that returns before the upstream has closed its side. Until then
// the upstream counts the connection against its limit.
func TestCloseWaits(t *testing.T) {
	closes := func(closeConn func(*testing.T, *fakeUpstream)) func(*testing.T) {
		return func(t *testing.T) {
			f := newFakeUpstream(t)
			closeConn(t, f)
			assert.Equal(t, f.closedConns.Load(), int32(1))
		}
	}

	t.Run("close", closes(func(t *testing.T, f *fakeUpstream) { f.dial(t).Close() }))
	t.Run("abort", closes(func(t *testing.T, f *fakeUpstream) { f.dial(t).Abort() }))
	t.Run("failed login", closes(func(t *testing.T, f *fakeUpstream) {
		f.ignoresLogin = true
		_, err := (&Dialer{User: "lab", ConnectTimeout: 30 * time.Millisecond}).Dial(context.Background(), f.address, "rota")
		assert.Assert(t, err != nil)
	}))
}

// Guards against cancel requests with a wrong key, and against a deadlock when a batch and its response are both larger
// than the socket buffers.
func TestCancelAndLargeBatch(t *testing.T) {
	f := newFakeUpstream(t)
	c := f.dial(t)
	assert.NilError(t, c.Cancel(context.Background()))
	f.mu.Lock()
	assert.DeepEqual(t, f.cancelledProcessIDs, []uint32{42})
	f.mu.Unlock()

	f.scripts["WIDE"] = func(b *pgproto3.Backend) {
		b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 60<<10)}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		_ = b.Flush()
	}

	messages := make([]pgproto3.FrontendMessage, 0, 401)
	messages = append(messages, &pgproto3.Parse{Query: "WIDE"})

	for range 200 {
		messages = append(messages, &pgproto3.Bind{Parameters: [][]byte{make([]byte, 60<<10)}}, &pgproto3.Execute{})
	}

	_, result, err := runBatch(t, c, extendedBatch(messages...))
	assert.NilError(t, err)
	assert.Equal(t, result.CompletedCommands, 200)
}

// Guards against a decoder that panics on malformed messages, or accepts a batch without exactly one Query or Sync.
func FuzzPlan(f *testing.F) {
	f.Add(simpleBatch("SELECT 1").Messages)
	f.Add(extendedBatch(
		&pgproto3.Parse{Name: "s", Query: "x", ParameterOIDs: []uint32{23}},
		&pgproto3.Close{ObjectType: 'S', Name: "s"}).Messages)

	f.Fuzz(func(t *testing.T, messages []byte) {
		p, err := newPlan(lab.MessageBatch{Messages: messages}, map[string]string{"s": "y"})
		if err != nil {
			return
		}

		terminators := 0

		for data := p.out; len(data) > 0; {
			m, rest, err := splitMessage(data)
			assert.NilError(t, err)

			if m.messageType == 'Q' || m.messageType == 'S' {
				terminators++
			}

			data = rest
		}

		assert.Equal(t, terminators, 1)
	})
}

// Guards against a position decoder that panics on a malformed row.
func FuzzPosition(f *testing.F) {
	valid := encodeRow("f", "2", "0/16B3748", "0/16B3748")
	f.Add(valid)
	f.Add(valid[:9])

	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := parsePosition(body)
		assert.Assert(t, err == nil || p == Position{})
	})
}

func encodeRow(columns ...string) []byte {
	row := pgproto3.DataRow{}
	for _, c := range columns {
		row.Values = append(row.Values, []byte(c))
	}

	out, _ := row.Encode(nil)

	return out[headerSize:]
}
