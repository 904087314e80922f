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
	"laburnumlock.dev/lab/bench/connection/labclient"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/process/labrandom"
)

// Names and marks in the SQL of sessions.
const (
	Table                = "rota"       // table of the rows that sessions read and update
	IdempotentTable      = "bookings"   // table for inserts with an idempotency key
	BoundedStalenessMark = "/* aged */" // comment in the reads of sessions with a read class
)

// session sends operations one after another, each due at a random time.
type session struct {
	load              *Load
	number            int
	random            *labrandom.Random
	client            *labclient.Client
	boundedStaleness  bool                  // whether reads use the load's read class
	sequences         [keysPerSession]int64 // last sequence number written to each key
	idempotentInserts int64                 // number of inserts with an idempotency key so far
}

func (l *Load) key(session, number int) string {
	return fmt.Sprintf("%ss%d-%d", l.KeyPrefix, session, number)
}

func (s *session) prepare(ctx context.Context) error {
	for k := range keysPerSession {
		name := s.load.key(s.number, k)

		_, err := s.client.Exec(ctx, fmt.Sprintf("INSERT INTO %s (key, value) VALUES ('%s', '%s:0')", Table, name, name))
		if err != nil {
			return errors.Newf("insert row %s: %w", name, err)
		}
	}

	return nil
}

func (s *session) run(ctx context.Context, duration time.Duration) {
	rate := (s.load.ReadRate + s.load.WriteRate) / float64(s.load.Sessions)
	due := time.Duration(0)

	for {
		due += nextInterval(s.random, rate)
		if due > duration {
			return
		}

		if pause := due - s.load.Elapsed(); pause > 0 {
			time.Sleep(pause)
		}

		if ctx.Err() != nil {
			return
		}

		s.execute(ctx, due)
	}
}

// execute sends one operation, unless its deadline passed before the session was idle.
func (s *session) execute(ctx context.Context, due time.Duration) {
	if s.load.Elapsed()-due > s.load.Deadline {
		s.recordExpired(due)
	} else {
		s.send(ctx, due)
	}
}

// recordExpired records an operation whose deadline passed before the session was idle.
func (s *session) recordExpired(due time.Duration) {
	o := s.newOperation(labhistory.KindRead, "", -1, due)
	o.CompletedAt, o.Result, o.Reason = o.SentAt, labhistory.ResultNotRun, "deadline passed at the client"
	s.load.history.Add(o)
}

// nextInterval draws the time between two events of a Poisson process. The rate is in events per second.
func nextInterval(random *labrandom.Random, rate float64) time.Duration {
	u := (float64(random.Uint64()>>11) + 1) / (1 << 53)

	return time.Duration(-math.Log(u) / rate * float64(time.Second))
}

func (s *session) send(ctx context.Context, due time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.load.Deadline-(s.load.Elapsed()-due))
	defer cancel()

	if s.chance(s.load.MovePct) {
		_ = s.client.Move(ctx) // if this fails, the next operation connects again and reports the error
	}

	write := s.uniform() < s.load.WriteRate/(s.load.ReadRate+s.load.WriteRate)

	switch {
	case write && s.chance(s.load.IdempotentPct):
		s.insertIdempotent(ctx, due)
	case write:
		s.update(ctx, due)
	default:
		s.read(ctx, due)
	}
}

// uniform draws a number that is at least 0 and less than 1.
func (s *session) uniform() float64 {
	return float64(s.random.Uint64()>>11) / (1 << 53)
}

// chance returns true with a probability of pct percent.
func (s *session) chance(pct uint64) bool {
	return s.random.Uint64()%100 < pct
}

func (s *session) update(ctx context.Context, due time.Duration) {
	k := int(s.random.Uint64() % keysPerSession)
	s.sequences[k]++
	name := s.load.key(s.number, k)
	o := s.newOperation(labhistory.KindWrite, name, s.sequences[k], due)
	_, err := s.client.Exec(ctx, fmt.Sprintf("UPDATE %s SET value = '%s:%d' WHERE key = '%s'", Table, name, o.Sequence, name))
	s.record(o, err)
}

// insertIdempotent sends an insert with an idempotency key. It retries with the same key while the outcome is unknown
// and makes at most maxIdempotentAttempts attempts.
func (s *session) insertIdempotent(ctx context.Context, due time.Duration) {
	s.idempotentInserts++
	name := fmt.Sprintf("%sonce-%d-%d", s.load.KeyPrefix, s.number, s.idempotentInserts)
	o := s.newOperation(labhistory.KindIdempotentInsert, name, 1, due)
	sql := fmt.Sprintf("/* laburnumlock:once=%s */ INSERT INTO %s (key, value) VALUES ('%s', '%s:1')", name, IdempotentTable, name, name)

	var err error

	for range maxIdempotentAttempts {
		_, err = s.client.Exec(ctx, sql)
		if outcome, _ := lab.OutcomeOf(err); err == nil || outcome != lab.OutcomeUnknown || ctx.Err() != nil {
			break
		}
	}

	s.record(o, err)
}

func (s *session) read(ctx context.Context, due time.Duration) {
	owner := s.number
	// Half of the reads are of another session's row in the same database, to check that later reads of the row never
	// return older data.
	if s.chance(50) {
		owner = (s.number + len(s.load.Databases)) % s.load.Sessions
		if owner%len(s.load.Databases) != s.number%len(s.load.Databases) {
			owner = s.number
		}
	}

	name := s.load.key(owner, int(s.random.Uint64()%keysPerSession))
	kind := labhistory.KindRead

	if s.boundedStaleness {
		kind = labhistory.KindBoundedStaleness
	}

	o := s.newOperation(kind, name, -1, due)
	sql := fmt.Sprintf("SELECT value FROM %s WHERE key = $1", Table)

	if s.boundedStaleness {
		sql += " " + BoundedStalenessMark
	}

	result, err := s.client.Query(ctx, sql, name)

	if err == nil {
		o.Sequence, o.WrongResponse = parseRow(name, result)
	}

	s.record(o, err)
}

// parseRow returns the sequence number in the value of the result's row, or -1 if there is no row. It also reports
// whether the result belongs to another key than the requested one.
func parseRow(name string, result labclient.Result) (sequence int64, wrongResponse bool) {
	if len(result.Rows) == 0 {
		return -1, false
	}

	if len(result.Rows) != 1 || len(result.Rows[0]) != 1 {
		return -1, true
	}

	owner, number, _ := strings.Cut(result.Rows[0][0], ":")

	n, err := strconv.ParseInt(number, 10, 64)

	return n, err != nil || owner != name
}

func (s *session) newOperation(kind labhistory.Kind, key string, sequence int64, due time.Duration) labhistory.Operation {
	return labhistory.Operation{
		Session: s.number, Kind: kind, Database: s.client.Database, Key: key, Sequence: sequence, DueAt: due,
		SentAt: s.load.Elapsed(),
	}
}

func (s *session) record(o labhistory.Operation, err error) {
	o.CompletedAt, o.Result = s.load.Elapsed(), labhistory.ResultDone

	if err != nil {
		o.Reason, o.Result = err.Error(), labhistory.ResultUnknown
		if outcome, _ := lab.OutcomeOf(err); outcome == lab.OutcomeNotRun {
			o.Result = labhistory.ResultNotRun
		}
	}

	if err == nil {
		h := s.load.readLatency
		if o.IsWrite() {
			h = s.load.writeLatency
		}

		h.Record(o.CompletedAt - o.DueAt)
	}

	s.load.history.Add(o)
}
