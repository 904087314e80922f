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

// bench is a gateway in front of a fake primary and two fake replicas.
type bench struct {
	gateway  *Gateway
	control  *fakeControl
	once     *fakeOnce
	primary  *fakeMember
	replica  *fakeMember
	replica2 *fakeMember
	duty     lab.GatewayRole
	grant    lab.Grant
}

func newBench(t *testing.T, tick ...time.Duration) *bench {
	t.Helper()

	group := &fakeGroup{}
	b := &bench{
		primary:  group.add(t, "a", "coast", "hanko", false),
		replica:  group.add(t, "b", "coast", "kotka", true),
		replica2: group.add(t, "c", "coast", "hanko", true),
		once:     &fakeOnce{records: map[string]lab.IdempotencyRecord{}, settled: map[string]int{}},
		duty:     lab.GatewayRole{Database: "rota", Region: "coast"},
	}
	b.grant = lab.Grant{Role: b.duty, Epoch: 1, Term: 1, Writable: true}
	b.control = &fakeControl{
		database: &lab.Database{
			Name: "rota", Index: 1, Primary: "a", History: lab.TermHistory{{Term: 1}},
			Members: []lab.Announcement{b.primary.announcement, b.replica.announcement, b.replica2.announcement},
		},
		grants: map[lab.GatewayRole]lab.Grant{b.duty: b.grant}, slots: map[string]chan struct{}{},
	}

	clock := labclock.New()
	dialer := &labupstream.Dialer{User: "lab", Password: "lab", ProgressTimeout: 200 * time.Millisecond}
	b.gateway = &Gateway{
		Self: lab.Instance{ID: "p1", Region: "coast", AvailabilityZone: "hanko"}, Clock: clock, Routes: b.control,
		Lease: b.control, Admission: b.control, Once: b.once, Dialer: dialer, Tick: 10 * time.Millisecond,
		Observer: &labobserver.Observer{
			Clock: clock, Source: labobserver.Upstreams{Dialer: dialer}, Interval: 20 * time.Millisecond,
			LostAfter: 200 * time.Millisecond,
		},
	}
	for _, d := range tick {
		b.gateway.Tick = d
	}

	b.gateway.Assign([]lab.Grant{b.grant}, b.gateway.Clock.Now()+time.Hour)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)
		_ = b.gateway.Run(ctx)
	}()

	t.Cleanup(func() { cancel(); <-done })

	wait(t, func() bool {
		return b.view("a").Known && b.view("b").AgeKnown && b.view("c").AgeKnown
	})

	return b
}

func wait(t *testing.T, condition func() bool) {
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

func write() lab.TransactionHeader {
	return lab.TransactionHeader{
		RequestID: 1, Organisation: "hanko", Database: "rota", AdmissionClass: lab.ClassWrite, Region: "coast",
		TimeLeft: 2 * time.Second,
	}
}

func read() lab.TransactionHeader {
	h := write()
	h.AdmissionClass, h.ReadOnly = lab.ClassInteractive, true

	return h
}

// within returns a header with a shorter deadline.
func within(header lab.TransactionHeader, deadline time.Duration) lab.TransactionHeader {
	header.TimeLeft = deadline

	return header
}

// view returns what the observer knows of a member.
func (b *bench) view(member string) (found labobserver.View) {
	for _, v := range b.gateway.Observer.Views("rota", nil) {
		if v.Member.Member == member {
			found = v
		}
	}

	return found
}

// open begins transactions that stay open.
func (b *bench) open(t *testing.T, count int) []lab.Transaction {
	t.Helper()

	open := make([]lab.Transaction, 0, count)

	for range count {
		tx, err := b.gateway.Begin(context.Background(), write())
		assert.NilError(t, err)
		_, err = tx.Run(context.Background(), query("BEGIN", true), io.Discard)
		assert.NilError(t, err)
		open = append(open, tx)
	}

	return open
}

// do runs units as one transaction and returns the last result, the answers and the first error.
func (b *bench) do(header lab.TransactionHeader, units ...lab.MessageBatch) (lab.BatchResult, string, error) {
	var (
		answer bytes.Buffer
		result lab.BatchResult
	)

	tx, err := b.gateway.Begin(context.Background(), header)
	if err != nil {
		return result, "", err
	}
	defer tx.Close()

	for _, u := range units {
		if result, err = tx.Run(context.Background(), u, &answer); err != nil {
			break
		}
	}

	return result, answer.String(), err
}

func wantOutcome(t *testing.T, err error, outcome lab.Outcome, reason string) {
	t.Helper()
	assert.Assert(t, err != nil)

	gotOutcome, gotReason := lab.OutcomeOf(err)
	assert.Equal(t, gotOutcome, outcome, "%v", err)
	assert.Equal(t, gotReason, reason, "%v", err)
}

// Guards against a gateway that does not run units, reads on the primary without need, or answers without a position.
func TestRun(t *testing.T) {
	b := newBench(t)

	t.Run("write", func(t *testing.T) {
		result, answer, err := b.do(write(), query("INSERT w1", false))
		assert.NilError(t, err)
		assert.Equal(t, result, lab.BatchResult{Status: 'I', Position: lab.WALPosition{Term: 1, Offset: 110}, Member: "a"})
		assert.Assert(t, bytes.Contains([]byte(answer), []byte("INSERT 0 1")))
		assert.Equal(t, b.primary.has("INSERT w1"), 1)
	})
	t.Run("read with the write's floor", func(t *testing.T) {
		h := read()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 110}
		result, answer, err := b.do(h, query("SELECT r1", true))
		assert.NilError(t, err)
		assert.Assert(t, result.FromReplica)
		assert.Assert(t, bytes.Contains([]byte(answer), []byte("SELECT r1")))
		assert.Assert(t, !b.primary.wasAsked("SELECT r1"))
	})
	t.Run("stop closes all connections", func(t *testing.T) {
		b := newBench(t)
		_, _, err := b.do(write(), query("INSERT w0", false))
		assert.NilError(t, err)

		running := b.holding(t, "HOLD INSERT running")
		drained := make(chan error, 1)
		go func() { drained <- b.gateway.Drain(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		close(b.primary.hold)
		assert.NilError(t, (<-running).err)
		assert.NilError(t, <-drained)
		wait(t, func() bool { return b.primary.connections() == 0 && b.replica.connections() == 0 })
		assert.Equal(t, len(b.gateway.Held()), 0)

		_, _, err = b.do(write(), query("INSERT late", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonDraining)
	})
	t.Run("transaction", func(t *testing.T) {
		result, _, err := b.do(write(), query("BEGIN", true), query("INSERT w2", false), query("COMMIT", false))
		assert.NilError(t, err)
		assert.Equal(t, result.Status, byte('I'))
		assert.Equal(t, b.primary.has("INSERT w2"), 1)
	})
}
