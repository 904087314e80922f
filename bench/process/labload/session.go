package labload

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/bench/connection/labcaller"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/process/labrandom"
)

// The tables that sessions use, and the comment that marks reads which accept data of the read class's age.
const (
	Table     = "rota"
	OnceTable = "bookings"
	AgedMark  = "/* aged */"
)

// session sends one operation after another at its own random times.
type session struct {
	load     *Load
	number   int
	random   *labrandom.Random
	caller   *labcaller.Caller
	aged     bool
	sequence [keysPerSession]int64
	once     int64
}

func (l *Load) key(session, number int) string {
	return fmt.Sprintf("%ss%d-%d", l.Prefix, session, number)
}

func (s *session) prepare(ctx context.Context) error {
	for k := range keysPerSession {
		name := s.load.key(s.number, k)

		_, err := s.caller.Exec(ctx, fmt.Sprintf("INSERT INTO %s (key, value) VALUES ('%s', '%s:0')", Table, name, name))
		if err != nil {
			return errors.Newf("insert row %s: %w", name, err)
		}
	}

	return nil
}

func (s *session) run(ctx context.Context, duration time.Duration) {
	rate := (s.load.Reads + s.load.Writes) / float64(s.load.Sessions)
	due := time.Duration(0)

	for {
		due += interval(s.random, rate)
		if due > duration {
			return
		}

		if pause := due - s.load.Since(); pause > 0 {
			time.Sleep(pause)
		}

		if ctx.Err() != nil {
			return
		}

		s.serve(ctx, due)
	}
}

// serve sends one operation unless its deadline has passed before the session was free.
func (s *session) serve(ctx context.Context, due time.Duration) {
	if s.load.Since()-due > s.load.Deadline {
		s.expire(due)
	} else {
		s.step(ctx, due)
	}
}

// expire records an arrival whose deadline passed before the session was free to send it.
func (s *session) expire(due time.Duration) {
	o := s.operation(labhistory.KindRead, "", -1, due)
	o.Ended, o.Result, o.Reason = o.Began, labhistory.ResultNotRun, "deadline passed at the caller"
	s.load.history.Add(o)
}

// interval draws the time to the next arrival of a Poisson process.
func interval(random *labrandom.Random, rate float64) time.Duration {
	u := (float64(random.Uint64()>>11) + 1) / (1 << 53)

	return time.Duration(-math.Log(u) / rate * float64(time.Second))
}

func (s *session) step(ctx context.Context, due time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.load.Deadline-(s.load.Since()-due))
	defer cancel()

	if s.percent(s.load.MovePct) {
		_ = s.caller.Move(ctx) // a failure shows in the operation that follows
	}

	write := s.unit() < s.load.Writes/(s.load.Reads+s.load.Writes)

	switch {
	case write && s.percent(s.load.OncePct):
		s.insertOnce(ctx, due)
	case write:
		s.update(ctx, due)
	default:
		s.read(ctx, due)
	}
}

func (s *session) unit() float64 {
	return float64(s.random.Uint64()>>11) / (1 << 53)
}

func (s *session) percent(share uint64) bool {
	return s.random.Uint64()%100 < share
}

func (s *session) update(ctx context.Context, due time.Duration) {
	k := int(s.random.Uint64() % keysPerSession)
	s.sequence[k]++
	name := s.load.key(s.number, k)
	o := s.operation(labhistory.KindWrite, name, s.sequence[k], due)
	_, err := s.caller.Exec(ctx, fmt.Sprintf("UPDATE %s SET value = '%s:%d' WHERE key = '%s'", Table, name, o.Sequence, name))
	s.finish(o, err)
}

// insertOnce sends a named request, and sends it again under the same name while its outcome is unknown.
func (s *session) insertOnce(ctx context.Context, due time.Duration) {
	s.once++
	name := fmt.Sprintf("%sonce-%d-%d", s.load.Prefix, s.number, s.once)
	o := s.operation(labhistory.KindOnce, name, 1, due)
	sql := fmt.Sprintf("/* laburnumlock:once=%s */ INSERT INTO %s (key, value) VALUES ('%s', '%s:1')", name, OnceTable, name, name)

	var err error

	for range onceTries {
		_, err = s.caller.Exec(ctx, sql)
		if outcome, _ := lab.OutcomeOf(err); err == nil || outcome != lab.OutcomeUnknown || ctx.Err() != nil {
			break
		}
	}

	s.finish(o, err)
}

func (s *session) read(ctx context.Context, due time.Duration) {
	owner := s.number
	if s.percent(50) { // another session's row of the same database, to see that reads never go backwards
		owner = (s.number + len(s.load.Databases)) % s.load.Sessions
		if owner%len(s.load.Databases) != s.number%len(s.load.Databases) {
			owner = s.number
		}
	}

	name := s.load.key(owner, int(s.random.Uint64()%keysPerSession))
	kind := labhistory.KindRead

	if s.aged {
		kind = labhistory.KindAged
	}

	o := s.operation(kind, name, -1, due)
	sql := fmt.Sprintf("SELECT value FROM %s WHERE key = $1", Table)

	if s.aged {
		sql += " " + AgedMark
	}

	a, err := s.caller.Query(ctx, sql, name)

	if err == nil {
		o.Sequence, o.Foreign = parse(name, a)
	}

	s.finish(o, err)
}

// parse reads the sequence from a row's value and reports whether the row belongs to another key.
func parse(name string, a labcaller.Answer) (sequence int64, foreign bool) {
	if len(a.Rows) == 0 {
		return -1, false
	}

	if len(a.Rows) != 1 || len(a.Rows[0]) != 1 {
		return -1, true
	}

	owner, number, _ := strings.Cut(a.Rows[0][0], ":")

	n, err := strconv.ParseInt(number, 10, 64)

	return n, err != nil || owner != name
}

func (s *session) operation(kind labhistory.Kind, key string, sequence int64, due time.Duration) labhistory.Operation {
	return labhistory.Operation{
		Session: s.number, Kind: kind, Database: s.caller.Database, Key: key, Sequence: sequence, Due: due,
		Began: s.load.Since(),
	}
}

func (s *session) finish(o labhistory.Operation, err error) {
	o.Ended, o.Result = s.load.Since(), labhistory.ResultDone

	if err != nil {
		o.Reason, o.Result = err.Error(), labhistory.ResultUnknown
		if outcome, _ := lab.OutcomeOf(err); outcome == lab.OutcomeNotRun {
			o.Result = labhistory.ResultNotRun
		}
	}

	if err == nil {
		h := s.load.reads
		if o.Writes() {
			h = s.load.writes
		}

		h.Record(o.Ended - o.Due)
	}

	s.load.history.Add(o)
}
