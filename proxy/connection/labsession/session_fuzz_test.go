package labsession_test

import (
	"context"
	"encoding/binary"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// fakeEnvironment implements all dependencies of a session. Its gateway responds to each batch with the same bytes.
type fakeEnvironment struct {
	response          []byte
	transactionStatus byte
	organisation      lab.Organisation

	lock   sync.Mutex
	sent   []byte
	closed bool
}

func (w *fakeEnvironment) Database(string) (*lab.Database, bool) { return nil, false }
func (w *fakeEnvironment) Organisation(string) (*lab.Organisation, bool) {
	return &w.organisation, true
}
func (w *fakeEnvironment) Version() (version, index uint64)           { return 1, 1 }
func (w *fakeEnvironment) Now() time.Duration                         { return 0 }
func (w *fakeEnvironment) Wall() time.Time                            { return time.Time{} }
func (w *fakeEnvironment) Sleep(context.Context, time.Duration) error { return nil }
func (w *fakeEnvironment) Uint64() uint64                             { return 4 }
func (w *fakeEnvironment) RecordRequest()                             {}
func (w *fakeEnvironment) TakeRetry() bool                            { return false }
func (w *fakeEnvironment) Cancel()                                    {}
func (w *fakeEnvironment) SetWriteLimit(int)                          {}

func (w *fakeEnvironment) Begin(context.Context, lab.TransactionHeader) (lab.Transaction, error) {
	return transaction{w}, nil
}

func (w *fakeEnvironment) Send(data []byte) { _ = w.Write(data) }

func (w *fakeEnvironment) Write(data []byte) error {
	w.lock.Lock()
	defer w.lock.Unlock()

	w.sent = append(w.sent, data...)

	return nil
}

func (w *fakeEnvironment) Close() {
	w.lock.Lock()
	defer w.lock.Unlock()

	w.closed = true
}

type transaction struct{ *fakeEnvironment }

func (t transaction) Close() {}

func (t transaction) Run(_ context.Context, _ lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	if _, err := response.Write(t.response); err != nil {
		return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonConnectionLost, err)
	}

	return lab.BatchResult{Status: t.transactionStatus}, nil
}

func (w *fakeEnvironment) login(t *testing.T, s *labsession.Session) {
	t.Helper()

	client, err := scram.SHA256.NewClientUnprepped("", "p", "")
	assert.NilError(t, err)

	c := client.NewConversation()
	first, err := c.Step("")
	assert.NilError(t, err)

	startup := append([]byte{0, 0, 0, 0, 0, 3, 0, 0}, "user\x00u\x00database\x00d\x00\x00"...)
	binary.BigEndian.PutUint32(startup, uint32(len(startup)))
	s.Receive(startup)

	w.sent = nil
	size := binary.BigEndian.AppendUint32(nil, uint32(len(first)))
	s.Receive(labframe.Append(nil, 'p', []byte("SCRAM-SHA-256\x00"), size, []byte(first)))
	assert.Assert(t, len(w.sent) > 9, "%q", w.sent)

	proof, err := c.Step(string(w.sent[9:]))
	assert.NilError(t, err)
	s.Receive(labframe.Append(nil, 'p', []byte(proof)))
	assert.Assert(t, s.Ready())
}

func openSession(upstream []byte, status byte, credential lab.Credential) (*fakeEnvironment, *labsession.Session) {
	w := &fakeEnvironment{response: upstream, transactionStatus: status}
	w.organisation = lab.Organisation{Name: "u", Databases: []string{"d"}, Credential: credential}
	v := &labsession.Server{
		Gateway: w, Catalog: w, Clock: w, Random: w, RetryBudget: w, TokenCodec: &labtoken.Codec{Keys: [][]byte{{1}}},
		Keys: &labsession.CancelKeys{}, Log: zerolog.Nop(), MessageLimit: 1 << 16,
	}

	return w, v.Open(w)
}

func waitUntilIdle(t *testing.T, s *labsession.Session) {
	t.Helper()

	for deadline := time.Now().Add(10 * time.Second); s.Busy(); runtime.Gosched() {
		assert.Assert(t, time.Now().Before(deadline), "the worker is still running")
	}
}

// FuzzSession guards against input from a client or an upstream that makes a session panic or hang.
func FuzzSession(f *testing.F) {
	credential, err := labscram.DeriveCredential("p", []byte("0123456789abcdef"), 4096)
	assert.NilError(f, err)

	message := func(kind byte, body string) []byte { return labframe.Append(nil, kind, []byte(body)) }
	f.Add(append(message('Q', "select 1\x00"), message('X', "")...), message('C', "SELECT 1\x00"), byte('I'))
	f.Add(append(message('P', "a\x00begin\x00\x00\x00"), append(message('B', "\x00a\x00\x00\x00\x00\x00\x00\x00"),
		append(message('E', "\x00\x00\x00\x00\x00"), message('S', "")...)...)...), message('2', ""), byte('T'))
	f.Add(append(message('Q', "set a = 1\x00"), message('H', "")...), message('E', "C42601\x00P9\x00\x00"), byte('E'))
	f.Add(append(message('D', "Sx\x00"), message('H', "")...), message('D', "12345"), byte('x'))

	f.Fuzz(func(t *testing.T, fromClient, fromUpstream []byte, status byte) {
		w, s := openSession(fromUpstream, status, credential)
		w.login(t, s)

		half := len(fromClient) / 2
		s.Receive(fromClient[:half])
		s.Receive(fromClient[half:])
		waitUntilIdle(t, s)
		s.Drain()
		s.ConnectionClosed()
		waitUntilIdle(t, s)
	})
}

// FuzzStartup guards against unauthenticated input that makes a session panic or become ready, or that causes a
// response much larger than the input.
func FuzzStartup(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x11\x00\x03\x00\x00user\x00u\x00\x00p\x00\x00\x00\x04"))
	f.Add([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, s := openSession(nil, 'I', lab.Credential{Iterations: 4096, Salt: []byte("s"), StoredKey: []byte("k"), ServerKey: []byte("v")})
		for _, b := range data {
			s.Receive([]byte{b})
		}

		assert.Assert(t, !s.Ready() && len(w.sent) < 4096+2*len(data))
		s.ConnectionClosed()
	})
}
