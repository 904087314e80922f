package labstandin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// execute runs one statement. Its changes are buffered in the transaction until the commit.
func (s *session) execute(st *labsql.Statement, parameters []value) (*result, error) {
	endsTransaction := st.Kind == labsql.Commit || st.Kind == labsql.Rollback
	if s.transaction != nil && s.transaction.failed && !endsTransaction {
		return nil, errTransactionAborted
	}

	ctx, stop := s.interruptibleContext()
	defer stop()

	t := s.ensureTransaction()
	run := s.member.startStatement(s, st, t.id)

	r, err := s.executeOrDrop(ctx, st, parameters)
	if ctx.Err() != nil && err != nil {
		err = errCancelled
	}

	if s.context.Err() != nil {
		err = errClosed
	}

	s.member.finishStatement(run, st, err)

	if err != nil && s.transaction != nil {
		s.transaction.failed = true
	}

	return r, err
}

// interruptibleContext returns a context that a cancel request cancels, and a function that releases the context.
func (s *session) interruptibleContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.context)

	s.interruptLock.Lock()
	s.interrupt = cancel
	s.interruptLock.Unlock()

	return ctx, func() {
		s.interruptLock.Lock()
		s.interrupt = nil
		s.interruptLock.Unlock()
		cancel()
	}
}

func (s *session) executeOrDrop(ctx context.Context, st *labsql.Statement, parameters []value) (*result, error) {
	before, after := s.member.consumeDropRule(st)
	if before {
		return nil, errClosed
	}

	s.dropResponse = s.dropResponse || after

	if st.OccupiesSlot() {
		if err := sleep(ctx, s.member.group.StatementCost); err != nil {
			return nil, err
		}
	}

	return s.dispatch(ctx, st, parameters)
}

func (s *session) dispatch(ctx context.Context, st *labsql.Statement, parameters []value) (*result, error) {
	switch st.Kind {
	case labsql.Insert, labsql.Update, labsql.Delete:
		return s.executeWrite(st, parameters)
	case labsql.CreateTable:
		if s.isReadOnly() {
			return nil, errReadOnly
		}

		return &result{tag: "CREATE TABLE"}, nil
	case labsql.SelectRows, labsql.SelectCount:
		return s.executeRead(st, parameters)
	case labsql.SelectSeries:
		return executeSeries(st, parameters)
	case labsql.SelectValues:
		return s.executeValues(ctx, st, parameters)
	case labsql.PositionQuery, labsql.PromoteQuery, labsql.SwitchPointQuery:
		return s.executeInternal(ctx, st)
	case labsql.Set, labsql.Show, labsql.Reset, labsql.Discard:
		return s.executeSetting(st)
	}

	tag, err := s.transactionControl(st)

	return &result{tag: tag}, err
}

func (s *session) isReadOnly() bool {
	g := s.member.group
	g.lock.Lock()
	defer g.lock.Unlock()

	return s.member.recovery || s.transaction.readOnly
}

func (s *session) executeWrite(st *labsql.Statement, parameters []value) (*result, error) {
	if s.isReadOnly() {
		return nil, errReadOnly
	}

	value, err := evaluate(&st.Value, parameters)
	if err != nil {
		return nil, err
	}

	if st.Kind == labsql.Insert {
		return s.executeInsert(st, parameters, value.text)
	}

	keys, err := s.selectKeys(st, parameters)
	if err != nil {
		return nil, err
	}

	kind, tag := changeUpdate, "UPDATE "

	switch {
	case st.Kind == labsql.Delete:
		kind, tag = changeDelete, "DELETE "
	case st.Append:
		kind = changeAppend
	}

	for _, k := range keys {
		s.transaction.changes = append(s.transaction.changes, change{kind, st.Table, k, value.text})
	}

	return &result{tag: tag + strconv.Itoa(len(keys))}, nil
}

func (s *session) executeInsert(st *labsql.Statement, parameters []value, text string) (*result, error) {
	key, err := evaluate(st.Key, parameters)
	if err != nil {
		return nil, err
	}

	g := s.member.group
	g.lock.Lock()
	_, exists := s.member.visibleRow(st.Table, key.text, s.transaction)
	g.lock.Unlock()

	if exists {
		return nil, errUniqueViolation
	}

	s.transaction.changes = append(s.transaction.changes, change{changeInsert, st.Table, key.text, text})

	return &result{tag: "INSERT 0 1"}, nil
}

// selectKeys returns the keys of the rows that the WHERE clause selects, in ascending order; without a WHERE clause it
// returns the keys of all rows.
func (s *session) selectKeys(st *labsql.Statement, parameters []value) ([]string, error) {
	g := s.member.group

	if st.Key == nil {
		g.lock.Lock()
		defer g.lock.Unlock()

		return slices.Sorted(maps.Keys(s.member.visibleRows(st.Table, s.transaction))), nil
	}

	key, err := evaluate(st.Key, parameters)
	if err != nil || key.null {
		return nil, err
	}

	g.lock.Lock()
	defer g.lock.Unlock()

	if _, ok := s.member.visibleRow(st.Table, key.text, s.transaction); !ok {
		return nil, nil
	}

	return []string{key.text}, nil
}

func (s *session) executeRead(st *labsql.Statement, parameters []value) (*result, error) {
	keys, err := s.selectKeys(st, parameters)
	if err != nil {
		return nil, err
	}

	r := &result{columns: resultColumns(st), tag: tagSelect}

	if st.Kind == labsql.SelectCount {
		r.next = rowIterator([]value{integerValue(int64(len(keys)))})
		return r, nil
	}

	g := s.member.group
	g.lock.Lock()
	defer g.lock.Unlock()

	var all [][]value

	for _, k := range keys {
		row, ok := s.member.visibleRow(st.Table, k, s.transaction)
		if !ok {
			continue
		}

		var v []value

		for _, c := range st.Columns {
			if c == "key" {
				v = append(v, value{text: k})
			} else {
				v = append(v, value{text: row.Value})
			}
		}

		all = append(all, v)
	}

	r.next = rowIterator(all...)

	return r, nil
}

func executeSeries(st *labsql.Statement, parameters []value) (*result, error) {
	var bounds [2]int64

	for i := range bounds {
		v, err := evaluate(&st.Expressions[i], parameters)
		if err != nil {
			return nil, err
		}

		bounds[i], err = strconv.ParseInt(v.text, 10, 32)
		if err != nil {
			return nil, errInvalidParameter
		}
	}

	next := bounds[0]

	return &result{columns: resultColumns(st), tag: tagSelect, next: func() []value {
		if next > bounds[1] {
			return nil
		}

		next++

		return []value{integerValue(next - 1)}
	}}, nil
}

func evaluate(e *labsql.Expression, parameters []value) (value, error) {
	if e.Parameter == 0 {
		return value{e.Text, e.Null}, nil
	}

	if e.Parameter > len(parameters) {
		return value{}, errInvalidParameter
	}

	return parameters[e.Parameter-1], nil
}

func (s *session) executeValues(ctx context.Context, st *labsql.Statement, parameters []value) (*result, error) {
	row := make([]value, len(st.Expressions))

	for i := range st.Expressions {
		v, err := s.evaluateCall(ctx, &st.Expressions[i], parameters)
		if err != nil {
			return nil, err
		}

		row[i] = v
	}

	return &result{columns: resultColumns(st), tag: tagSelect, next: rowIterator(row)}, nil
}

func (s *session) evaluateCall(ctx context.Context, e *labsql.Expression, parameters []value) (value, error) {
	switch e.Function {
	case "pg_sleep":
		v, err := evaluate(&e.Arguments[0], parameters)
		if err != nil {
			return v, err
		}

		seconds, err := strconv.ParseFloat(v.text, 64)
		if err != nil {
			return v, errInvalidParameter
		}

		return value{}, sleep(ctx, time.Duration(seconds*float64(time.Second)))
	case "pg_is_in_recovery":
		s.member.group.lock.Lock()
		defer s.member.group.lock.Unlock()

		return booleanValue(s.member.recovery), nil
	case "pg_backend_pid":
		return integerValue(int64(s.id)), nil
	case "version":
		return value{text: "PostgreSQL 17.0 (standin)"}, nil
	}

	return evaluate(e, parameters)
}

// executeInternal executes an internal statement (see labsql.Statement.Internal).
func (s *session) executeInternal(ctx context.Context, st *labsql.Statement) (*result, error) {
	m := s.member

	if st.Kind == labsql.PromoteQuery {
		if err := sleep(ctx, m.group.PromotionCost); err != nil {
			return nil, err
		}
	}

	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	r := &result{columns: resultColumns(st), tag: tagSelect}

	switch st.Kind {
	case labsql.PromoteQuery:
		if err := m.promote(); err != nil {
			if errors.Is(err, errNotInRecovery) {
				return nil, errAlreadyPrimary
			}

			return nil, err
		}

		r.next = rowIterator([]value{booleanValue(true)})
	case labsql.SwitchPointQuery:
		r.next = rowIterator([]value{m.lastReplayedLSN()})
	default:
		timeline, replayed, received := m.reportedPositions()
		r.next = rowIterator([]value{
			booleanValue(m.recovery), integerValue(int64(timeline)), lsnValue(replayed), lsnValue(received),
		})
	}

	return r, nil
}

// lastReplayedLSN returns the value of pg_last_wal_replay_lsn, which is NULL on a member that has not been in recovery
// since its last start.
func (m *Member) lastReplayedLSN() value {
	switch {
	case m.recovery:
		m.advanceReplication()
		return lsnValue(m.positionAt(m.replayed).Offset)
	case m.promoted:
		return lsnValue(m.switchOffset)
	}

	return value{null: true}
}
