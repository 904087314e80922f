package labfront_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

type fakeCatalog struct {
	lock          sync.Mutex
	organisations map[string]*lab.Organisation
	databases     map[string]*lab.Database
	empty         bool // the proxy has not received a catalog yet
}

func (c *fakeCatalog) Database(name string) (*lab.Database, bool) {
	d, ok := c.databases[name]

	return d, ok
}

// updateOrganisation replaces an organisation by a changed copy.
func (c *fakeCatalog) updateOrganisation(name string, change func(*lab.Organisation)) {
	c.lock.Lock()
	defer c.lock.Unlock()

	o := *c.organisations[name]
	change(&o)
	c.organisations[name] = &o
}

func (c *fakeCatalog) Organisation(name string) (*lab.Organisation, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()

	o, ok := c.organisations[name]

	return o, ok
}

func (c *fakeCatalog) Version() (version, index uint64) {
	if c.empty {
		return 0, 0
	}

	return 1, 1
}

type fakeRandom struct{}

func (fakeRandom) Uint64() uint64 { return rand.Uint64() }

type fakeBudget struct{}

func (fakeBudget) RecordRequest() {}

func (fakeBudget) TakeRetry() bool { return true }

// fakeGateway executes a small set of statements itself. Successive transactions run on different upstream connections.
type fakeGateway struct {
	lock               sync.Mutex
	offset             uint64
	executed           []string                                    // executed statements, in order
	discardsQueries    bool                                        // executed statements are not recorded
	beginHeader        lab.TransactionHeader                       // header given to the last Begin
	beginError         func(lab.TransactionHeader) error           // returns the error of a Begin, if set
	runError           func(query string) error                    // returns the error of a query, if set
	blockBegin         atomic.Pointer[func(context.Context) error] // if set, the next Begin calls it and returns its error
	closedTransactions atomic.Int64
	lateWrite          func() error        // writes to the response writer of a Run that has returned
	idlePrepared       []map[string]string // prepared statements of each idle connection
	release            chan struct{}       // closed by a test to let "select block" finish
}

func (g *fakeGateway) Begin(ctx context.Context, h lab.TransactionHeader) (lab.Transaction, error) {
	if wait := g.blockBegin.Swap(nil); wait != nil {
		return nil, (*wait)(ctx)
	}

	g.lock.Lock()
	defer g.lock.Unlock()

	g.beginHeader = h
	if g.beginError != nil {
		if err := g.beginError(h); err != nil {
			return nil, err
		}
	}

	prepared := map[string]string{}
	if len(g.idlePrepared) > 1 { // one connection stays idle, so that successive transactions use different ones
		prepared, g.idlePrepared = g.idlePrepared[0], g.idlePrepared[1:]
	}

	return &fakeTransaction{
		gateway: g, prepared: prepared, status: 'I', readOnly: h.ReadOnly, cancel: make(chan struct{}, 1),
	}, nil
}

// update changes the fields of the gateway under its lock.
func (g *fakeGateway) update(change func(*fakeGateway)) {
	g.lock.Lock()
	defer g.lock.Unlock()

	change(g)
}

func (g *fakeGateway) runFailure(query string) error {
	g.lock.Lock()
	defer g.lock.Unlock()

	if g.runError == nil {
		return nil
	}

	return g.runError(query)
}

func (g *fakeGateway) record(query string) {
	g.lock.Lock()
	defer g.lock.Unlock()

	if !g.discardsQueries {
		g.executed = append(g.executed, query)
	}
}

func (g *fakeGateway) queries() []string {
	g.lock.Lock()
	defer g.lock.Unlock()

	return append([]string(nil), g.executed...)
}

func (g *fakeGateway) lastHeader() lab.TransactionHeader {
	g.lock.Lock()
	defer g.lock.Unlock()

	return g.beginHeader
}

type fakeTransaction struct {
	gateway  *fakeGateway
	prepared map[string]string // query text of the prepared statements of the connection, by name
	status   byte              // transaction status: I, T or E
	readOnly bool
	portals  map[string]fakePortal // portals of the current Run, by name
	out      io.Writer             // receives the response of the current Run
	err      error                 // error that the current Run returns
	cancel   chan struct{}         // receives a value for each Cancel
}

type fakePortal struct {
	query      string
	parameters [][]byte
}

func (t *fakeTransaction) Cancel() { t.cancel <- struct{}{} }

func (t *fakeTransaction) Close() { t.gateway.closedTransactions.Add(1) }

func (t *fakeTransaction) Run(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	t.out, t.err, t.portals = response, nil, map[string]fakePortal{}

	failed := false

	for _, s := range batch.Statements {
		if _, ok := t.prepared[s.Name]; ok {
			continue
		}

		if failed = !t.prepare(s.Name, s.Query); failed {
			break
		}
	}

	b := pgproto3.NewBackend(bytes.NewReader(batch.Messages), io.Discard)

	for {
		m, err := b.Receive()
		if err != nil {
			break
		}

		if !failed {
			failed = !t.handleMessage(ctx, m)
		}

		if t.err != nil {
			return lab.BatchResult{}, t.err
		}
	}

	if failed && t.status == 'T' {
		t.status = 'E'
	}

	t.gateway.lock.Lock()
	defer t.gateway.lock.Unlock()

	t.gateway.offset++

	if t.status == 'I' && t.err == nil {
		t.gateway.idlePrepared = append(t.gateway.idlePrepared, t.prepared)
	}

	return lab.BatchResult{
		Status: t.status, FromReplica: t.readOnly, Position: lab.WALPosition{Term: 1, Offset: t.gateway.offset},
	}, t.err
}

func (t *fakeTransaction) send(m pgproto3.BackendMessage) {
	raw, err := m.Encode(nil)
	if err == nil {
		_, err = t.out.Write(raw)
	}

	if err != nil && t.err == nil {
		t.err = lab.UnknownOutcomeError(lab.ReasonConnectionLost, err)
	}
}

func (t *fakeTransaction) sendError(code, message string) bool {
	t.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message, Position: 30})

	return false
}

// prepare adds a prepared statement. A query with "syntax" fails with a syntax error; a query with "select made" fails
// unless "insert made" was executed before.
func (t *fakeTransaction) prepare(name, query string) bool {
	if strings.Contains(query, "syntax") {
		return t.sendError("42601", "syntax error")
	}

	if strings.Contains(query, "select made") && !slices.Contains(t.gateway.queries(), "insert made") {
		return t.sendError("42P01", "relation does not exist")
	}

	t.prepared[name] = query

	return true
}

// handleMessage handles one message. It returns false when it has sent an error or the run has failed.
func (t *fakeTransaction) handleMessage(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		if strings.Contains(m.String, "syntax") {
			return t.sendError("42601", "syntax error")
		}

		for q := range strings.SplitSeq(m.String, ";") {
			if q = strings.TrimSpace(q); q != "" && !t.execute(ctx, fakePortal{query: q}, true) {
				return false
			}
		}
	case *pgproto3.Parse:
		if !t.prepare(m.Name, m.Query) {
			return false
		}

		t.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		q, ok := t.prepared[m.PreparedStatement]
		if !ok {
			return t.sendError("26000", "prepared statement does not exist: "+m.PreparedStatement)
		}

		p := fakePortal{query: q}
		for _, v := range m.Parameters {
			p.parameters = append(p.parameters, bytes.Clone(v))
		}

		t.portals[m.DestinationPortal] = p
		t.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		q := t.portals[m.Name].query
		if m.ObjectType == 'S' {
			var ok bool
			if q, ok = t.prepared[m.Name]; !ok {
				return t.sendError("26000", "prepared statement does not exist")
			}

			oids := make([]uint32, strings.Count(q, "$"))
			for i := range oids {
				oids[i] = 25
			}

			t.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}

		t.describe(q)
	case *pgproto3.Execute:
		return t.execute(ctx, t.portals[m.Portal], false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(t.prepared, m.Name)
		}

		t.send(&pgproto3.CloseComplete{})
	}

	return true
}

func (t *fakeTransaction) describe(q string) {
	if !strings.HasPrefix(q, "select") {
		t.send(&pgproto3.NoData{})

		return
	}

	t.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1,
	}}})
}

func (t *fakeTransaction) execute(ctx context.Context, portal fakePortal, describe bool) bool {
	t.gateway.record(portal.query)

	if t.err = t.gateway.runFailure(portal.query); t.err != nil {
		return false
	}

	words := strings.Fields(strings.ToLower(portal.query))

	switch {
	case words[0] == "begin" && t.status != 'E':
		t.status = 'T'
	case words[0] == "commit" || words[0] == "rollback":
		tag := strings.ToUpper(words[0])
		if t.status == 'E' {
			tag = "ROLLBACK"
		}

		t.status = 'I'
		t.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})

		return true
	case t.status == 'E':
		return t.sendError("25P02", "aborted")
	case words[0] == "select":
		return t.query(ctx, portal, words, describe)
	case words[0] == "insert":
		if words[1] == "repeated" {
			t.send(&pgproto3.NoticeResponse{
				Severity: "NOTICE", Code: lab.SQLStateDuplicate, Message: "the request had run before",
			})
		}

		t.send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})

		return true
	}

	t.send(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(words[0]))})

	return true
}

func (t *fakeTransaction) query(ctx context.Context, portal fakePortal, words []string, describe bool) bool {
	switch words[1] {
	case "late":
		response := t.out
		t.gateway.update(func(g *fakeGateway) {
			g.lateWrite = func() error {
				_, err := response.Write([]byte("C\x00\x00\x00\x0cSELECT 9"))

				return err
			}
		})
	case "error":
		return t.sendError("22012", "division by zero")
	case "primary":
		if t.readOnly {
			return t.sendError("25006", "cannot execute in a read-only transaction")
		}
	case "block":
		select {
		case <-t.cancel:
			return t.sendError("57014", "canceling statement due to user request")
		case <-ctx.Done():
			t.err = lab.UnknownOutcomeError(lab.ReasonCancelled, ctx.Err())

			return false
		case <-t.gateway.release:
		}
	}

	if describe {
		t.describe(portal.query)
	}

	rows, value := 1, []byte(strings.Join(words[1:], " "))
	if words[1] == "rows" { // "select rows COUNT BYTES" returns COUNT rows of BYTES bytes
		rows, _ = strconv.Atoi(words[2])
		size, _ := strconv.Atoi(words[3])
		value = bytes.Repeat([]byte{'x'}, size)
	} else if len(portal.parameters) > 0 {
		value = portal.parameters[0]
	}

	for range rows {
		if t.send(&pgproto3.DataRow{Values: [][]byte{value}}); t.err != nil {
			return false
		}
	}

	if words[len(words)-1] == "lost" {
		t.err = lab.UnknownOutcomeError(lab.ReasonConnectionLost, errFake)

		return false
	}

	t.send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", rows)})

	return true
}
