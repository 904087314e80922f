package labfront_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

var sequenceQueries = []string{
	"begin", "begin read only", "commit", "rollback", "select one", "select error", "insert one", "syntax", "set a = 1",
	"select one", "insert one",
}

// randomBatch returns either one Query, or random messages that end with a Sync and contain up to limit Execute
// messages. It updates prepared, the names of the existing prepared statements.
func randomBatch(r *rand.Rand, limit int, prepared map[string]bool) []pgproto3.FrontendMessage {
	query := func() string { return sequenceQueries[r.IntN(len(sequenceQueries))] }
	if r.IntN(3) == 0 {
		delete(prepared, "")

		return []pgproto3.FrontendMessage{&pgproto3.Query{String: query()}}
	}

	var all []pgproto3.FrontendMessage

	for range r.IntN(limit + 1) {
		name := []string{"", "n"}[r.IntN(2)]

		if !prepared[name] || r.IntN(4) > 0 {
			prepared[name] = true

			if name != "" {
				all = append(all, &pgproto3.Close{ObjectType: 'S', Name: name})
			}

			all = append(all, &pgproto3.Parse{Name: name, Query: query()})
		}

		if r.IntN(4) == 0 {
			all = append(all, &pgproto3.Describe{ObjectType: 'S', Name: name})
		}

		all = append(all, &pgproto3.Bind{PreparedStatement: name})
		if r.IntN(2) == 0 {
			all = append(all, &pgproto3.Describe{ObjectType: 'P'})
		}

		all = append(all, &pgproto3.Execute{})
	}

	return append(all, &pgproto3.Sync{})
}

// runWithoutProxy returns the types of the messages with which an upstream responds to a batch without a proxy.
func runWithoutProxy(t *testing.T, upstream *fakeTransaction, messages []pgproto3.FrontendMessage) string {
	t.Helper()

	var batch lab.MessageBatch

	var err error
	for _, m := range messages {
		batch.Messages, err = m.Encode(batch.Messages)
		assert.NilError(t, err)

		if _, ok := m.(*pgproto3.Query); ok {
			delete(upstream.prepared, "")
		}
	}

	var out bytes.Buffer

	r, err := upstream.Run(context.Background(), batch, &out)
	assert.NilError(t, err)

	types := ""

	f := pgproto3.NewFrontend(&out, nil)
	for m, err := f.Receive(); err == nil; m, err = f.Receive() {
		types += string(messageType(t, m))
	}

	return types + string(r.Status) + "Z"
}

// Guards against sequences of messages to which the session responds differently than an upstream. If a response
// contains an error, only the error and the transaction status are compared: when the session itself detects an error,
// it does not respond to the messages that precede the faulty one.
func TestSequences(t *testing.T) {
	x := startFixture(t, nil)

	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := x.login(t)
		upstream := &fakeTransaction{gateway: &fakeGateway{}, prepared: map[string]string{}, status: 'I'}

		log := make([]string, 0, 12)
		prepared, limit := map[string]bool{}, 3

		for range cap(log) {
			messages := randomBatch(r, limit, prepared)
			want, got := runWithoutProxy(t, upstream, messages), c.exchange(t, 'Z', messages...)
			// When a transaction block has failed without a transaction at the upstream, the session supports only
			// batches that execute one statement.
			limit = 3
			if upstream.status == 'E' {
				limit = 1
			}

			log = append(log, want+"/"+got)

			if strings.Contains(want[:len(want)-2], "E") {
				want = "E" + want[len(want)-2:]
				got = got[strings.Index(got, "E"):]

				clear(prepared)
			}

			assert.Equal(t, got, want, "seed %d: %v", seed, log)
		}

		assert.NilError(t, c.Close())
	}
}
