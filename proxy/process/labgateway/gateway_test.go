package labgateway

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

// fixture is a gateway with a fake primary and two fake replicas.
type fixture struct {
	gateway  *Gateway
	control  *fakeControl
	registry *fakeRegistry
	primary  *fakeMember
	replica  *fakeMember
	replica2 *fakeMember
	role     lab.GatewayRole
	grant    lab.Grant
}

func newFixture(t *testing.T, tick ...time.Duration) *fixture {
	t.Helper()

	group := &fakeGroup{}
	f := &fixture{
		primary:  group.add(t, "a", "coast", "hanko", false),
		replica:  group.add(t, "b", "coast", "kotka", true),
		replica2: group.add(t, "c", "coast", "hanko", true),
		registry: &fakeRegistry{records: map[string]lab.IdempotencyRecord{}, resolveCalls: map[string]int{}},
		role:     lab.GatewayRole{Database: "rota", Region: "coast"},
	}
	f.grant = lab.Grant{Role: f.role, Epoch: 1, Term: 1, Writable: true}
	f.control = &fakeControl{
		database: &lab.Database{
			Name: "rota", Index: 1, Primary: "a", History: lab.TermHistory{{Term: 1}},
			Members: []lab.Announcement{f.primary.announcement, f.replica.announcement, f.replica2.announcement},
		},
		grants: map[lab.GatewayRole]lab.Grant{f.role: f.grant}, slots: map[string]chan struct{}{},
	}

	clock := labclock.New()
	dialer := &labupstream.Dialer{User: "lab", Password: "lab", ProgressTimeout: 200 * time.Millisecond}
	f.gateway = &Gateway{
		Self: lab.Instance{ID: "p1", Region: "coast", AvailabilityZone: "hanko"}, Clock: clock, Catalog: f.control,
		Lease: f.control, Admission: f.control, IdempotencyRegistry: f.registry, Dialer: dialer,
		CheckInterval: 10 * time.Millisecond,
		Observer: &labobserver.Observer{
			Clock: clock, Source: labobserver.Upstreams{Dialer: dialer}, Interval: 20 * time.Millisecond,
			UnreachableAfter: 200 * time.Millisecond,
		},
	}
	for _, d := range tick {
		f.gateway.CheckInterval = d
	}

	f.gateway.Assign([]lab.Grant{f.grant}, f.gateway.Clock.Now()+time.Hour)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)
		_ = f.gateway.Run(ctx)
	}()

	t.Cleanup(func() { cancel(); <-done })

	waitUntil(t, func() bool {
		return f.view("a").PositionKnown && f.view("b").AgeKnown && f.view("c").AgeKnown
	})

	return f
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()

	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}

	t.Fatal("condition not reached")
}

func query(sql string, reads bool) lab.MessageBatch {
	messages, _ := (&pgproto3.Query{String: sql}).Encode(nil)

	return lab.MessageBatch{Messages: messages, SimpleQuery: true, ReadOnly: reads}
}

func writeHeader() lab.TransactionHeader {
	return lab.TransactionHeader{
		RequestID: 1, Organisation: "hanko", Database: "rota", AdmissionClass: lab.ClassWrite, Region: "coast",
		TimeLeft: 2 * time.Second,
	}
}

func readHeader() lab.TransactionHeader {
	h := writeHeader()
	h.AdmissionClass, h.ReadOnly = lab.ClassInteractive, true

	return h
}

// withDeadline returns the header with another time left until its deadline.
func withDeadline(header lab.TransactionHeader, deadline time.Duration) lab.TransactionHeader {
	header.TimeLeft = deadline

	return header
}

// view returns the observer's view of a member.
func (f *fixture) view(member string) (found labobserver.View) {
	for _, v := range f.gateway.Observer.Views("rota", nil) {
		if v.Member.Member == member {
			found = v
		}
	}

	return found
}

// openTransactions begins a number of transactions and leaves them open.
func (f *fixture) openTransactions(t *testing.T, count int) []lab.Transaction {
	t.Helper()

	open := make([]lab.Transaction, 0, count)

	for range count {
		tx, err := f.gateway.Begin(context.Background(), writeHeader())
		assert.NilError(t, err)
		_, err = tx.Run(context.Background(), query("BEGIN", true), io.Discard)
		assert.NilError(t, err)
		open = append(open, tx)
	}

	return open
}

// run runs batches as one transaction and returns the last result, all responses and the first error.
func (f *fixture) run(header lab.TransactionHeader, batches ...lab.MessageBatch) (lab.BatchResult, string, error) {
	var (
		response bytes.Buffer
		result   lab.BatchResult
	)

	tx, err := f.gateway.Begin(context.Background(), header)
	if err != nil {
		return result, "", err
	}
	defer tx.Close()

	for _, b := range batches {
		if result, err = tx.Run(context.Background(), b, &response); err != nil {
			break
		}
	}

	return result, response.String(), err
}

func wantOutcome(t *testing.T, err error, outcome lab.Outcome, reason string) {
	t.Helper()
	assert.Assert(t, err != nil)

	gotOutcome, gotReason := lab.OutcomeOf(err)
	assert.Equal(t, gotOutcome, outcome, "%v", err)
	assert.Equal(t, gotReason, reason, "%v", err)
}

// Guards against a gateway that does not run batches, reads from the primary without need, or returns no position.
func TestRun(t *testing.T) {
	f := newFixture(t)

	t.Run("write", func(t *testing.T) {
		result, response, err := f.run(writeHeader(), query("INSERT w1", false))
		assert.NilError(t, err)
		assert.Equal(t, result, lab.BatchResult{Status: 'I', Position: lab.WALPosition{Term: 1, Offset: 110}, Member: "a"})
		assert.Assert(t, bytes.Contains([]byte(response), []byte("INSERT 0 1")))
		assert.Equal(t, f.primary.countCommitted("INSERT w1"), 1)
	})
	t.Run("read with the write's minimum position", func(t *testing.T) {
		h := readHeader()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 110}
		result, response, err := f.run(h, query("SELECT r1", true))
		assert.NilError(t, err)
		assert.Assert(t, result.FromReplica)
		assert.Assert(t, bytes.Contains([]byte(response), []byte("SELECT r1")))
		assert.Assert(t, !f.primary.wasSent("SELECT r1"))
	})
	t.Run("stop closes all connections", func(t *testing.T) {
		f := newFixture(t)
		_, _, err := f.run(writeHeader(), query("INSERT w0", false))
		assert.NilError(t, err)

		running := f.startHeldWrite(t, "HOLD INSERT running")
		drained := make(chan error, 1)
		go func() { drained <- f.gateway.Drain(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		close(f.primary.resumeHeld)
		assert.NilError(t, (<-running).err)
		assert.NilError(t, <-drained)
		waitUntil(t, func() bool { return f.primary.openConnections() == 0 && f.replica.openConnections() == 0 })
		assert.Equal(t, len(f.gateway.HeldGrants()), 0)

		_, _, err = f.run(writeHeader(), query("INSERT late", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonDraining)
	})
	t.Run("transaction", func(t *testing.T) {
		result, _, err := f.run(writeHeader(), query("BEGIN", true), query("INSERT w2", false), query("COMMIT", false))
		assert.NilError(t, err)
		assert.Equal(t, result.Status, byte('I'))
		assert.Equal(t, f.primary.countCommitted("INSERT w2"), 1)
	})
}
