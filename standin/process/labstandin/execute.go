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

// execute runs one statement. Changes wait in the transaction for its commit.
func (s *session) execute(st *labsql.Statement, parameters []value) (*result, error) {
	ends := st.Kind == labsql.Commit || st.Kind == labsql.Rollback
	if s.block != nil && s.block.failed && !ends {
		return nil, errFailed
	}

	ctx, stop := s.interruptible()
	defer stop()

	t := s.begin()
	run := s.member.enter(s, st, t.id)

	r, err := s.dropOrRun(ctx, st, parameters)
	if ctx.Err() != nil && err != nil {
		err = errCancelled
	}

	if s.context.Err() != nil {
		err = errClosed
	}

	s.member.leave(run, st, err)

	if err != nil && s.block != nil {
		s.block.failed = true
	}

	return r, err
}

// interruptible returns a context that a cancel request ends.
func (s *session) interruptible() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.context)

	s.cancelling.Lock()
	s.interrupt = cancel
	s.cancelling.Unlock()

	return ctx, func() {
		s.cancelling.Lock()
		s.interrupt = nil
		s.cancelling.Unlock()
		cancel()
	}
}

func (s *session) dropOrRun(ctx context.Context, st *labsql.Statement, parameters []value) (*result, error) {
	before, after := s.member.takeDrop(st)
	if before {
		return nil, errClosed
	}

	s.dropping = s.dropping || after

	if st.Costs() {
		if err := sleep(ctx, s.member.group.StatementCost); err != nil {
			return nil, err
		}
	}

	return s.dispatch(ctx, st, parameters)
}

func (s *session) dispatch(ctx context.Context, st *labsql.Statement, parameters []value) (*result, error) {
	switch st.Kind {
	case labsql.Insert, labsql.Update, labsql.Delete:
		return s.write(st, parameters)
	case labsql.Create:
		if s.refusesWrites() {
			return nil, errReadOnly
		}

		return &result{tag: "CREATE TABLE"}, nil
	case labsql.Rows, labsql.Count:
		return s.read(st, parameters)
	case labsql.Series:
		return series(st, parameters)
	case labsql.Values:
		return s.values(ctx, st, parameters)
	case labsql.Position, labsql.Promote, labsql.SwitchPoint:
		return s.internal(ctx, st)
	case labsql.Set, labsql.Show, labsql.Reset, labsql.Discard:
		return s.setting(st)
	}

	tag, err := s.transactionControl(st)

	return &result{tag: tag}, err
}

func (s *session) refusesWrites() bool {
	g := s.member.group
	g.lock.Lock()
	defer g.lock.Unlock()

	return s.member.recovery || s.block.readOnly
}

func (s *session) write(st *labsql.Statement, parameters []value) (*result, error) {
	if s.refusesWrites() {
		return nil, errReadOnly
	}

	value, err := evaluate(&st.Value, parameters)
	if err != nil {
		return nil, err
	}

	if st.Kind == labsql.Insert {
		return s.insert(st, parameters, value.text)
	}

	keys, err := s.keys(st, parameters)
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
		s.block.changes = append(s.block.changes, change{kind, st.Table, k, value.text})
	}

	return &result{tag: tag + strconv.Itoa(len(keys))}, nil
}

func (s *session) insert(st *labsql.Statement, parameters []value, text string) (*result, error) {
	key, err := evaluate(st.Key, parameters)
	if err != nil {
		return nil, err
	}

	g := s.member.group
	g.lock.Lock()
	_, exists := s.member.row(st.Table, key.text, s.block)
	g.lock.Unlock()

	if exists {
		return nil, errUnique
	}

	s.block.changes = append(s.block.changes, change{changeInsert, st.Table, key.text, text})

	return &result{tag: "INSERT 0 1"}, nil
}

// keys returns the keys that a WHERE clause selects, in order.
func (s *session) keys(st *labsql.Statement, parameters []value) ([]string, error) {
	g := s.member.group

	if st.Key == nil {
		g.lock.Lock()
		defer g.lock.Unlock()

		return slices.Sorted(maps.Keys(s.member.table(st.Table, s.block))), nil
	}

	key, err := evaluate(st.Key, parameters)
	if err != nil || key.null {
		return nil, err
	}

	g.lock.Lock()
	defer g.lock.Unlock()

	if _, ok := s.member.row(st.Table, key.text, s.block); !ok {
		return nil, nil
	}

	return []string{key.text}, nil
}

func (s *session) read(st *labsql.Statement, parameters []value) (*result, error) {
	keys, err := s.keys(st, parameters)
	if err != nil {
		return nil, err
	}

	r := &result{columns: describe(st), tag: tagSelect}

	if st.Kind == labsql.Count {
		r.next = rows([]value{integer(int64(len(keys)))})
		return r, nil
	}

	g := s.member.group
	g.lock.Lock()
	defer g.lock.Unlock()

	var all [][]value

	for _, k := range keys {
		row, ok := s.member.row(st.Table, k, s.block)
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

	r.next = rows(all...)

	return r, nil
}

func series(st *labsql.Statement, parameters []value) (*result, error) {
	var bounds [2]int64

	for i := range bounds {
		v, err := evaluate(&st.Items[i], parameters)
		if err != nil {
			return nil, err
		}

		bounds[i], err = strconv.ParseInt(v.text, 10, 32)
		if err != nil {
			return nil, errParameter
		}
	}

	at := bounds[0]

	return &result{columns: describe(st), tag: tagSelect, next: func() []value {
		if at > bounds[1] {
			return nil
		}

		at++

		return []value{integer(at - 1)}
	}}, nil
}

func evaluate(e *labsql.Expression, parameters []value) (value, error) {
	if e.Parameter == 0 {
		return value{e.Text, e.Null}, nil
	}

	if e.Parameter > len(parameters) {
		return value{}, errParameter
	}

	return parameters[e.Parameter-1], nil
}

func (s *session) values(ctx context.Context, st *labsql.Statement, parameters []value) (*result, error) {
	row := make([]value, len(st.Items))

	for i := range st.Items {
		v, err := s.call(ctx, &st.Items[i], parameters)
		if err != nil {
			return nil, err
		}

		row[i] = v
	}

	return &result{columns: describe(st), tag: tagSelect, next: rows(row)}, nil
}

func (s *session) call(ctx context.Context, e *labsql.Expression, parameters []value) (value, error) {
	switch e.Function {
	case "pg_sleep":
		v, err := evaluate(&e.Arguments[0], parameters)
		if err != nil {
			return v, err
		}

		seconds, err := strconv.ParseFloat(v.text, 64)
		if err != nil {
			return v, errParameter
		}

		return value{}, sleep(ctx, time.Duration(seconds*float64(time.Second)))
	case "pg_is_in_recovery":
		s.member.group.lock.Lock()
		defer s.member.group.lock.Unlock()

		return boolean(s.member.recovery), nil
	case "pg_backend_pid":
		return integer(int64(s.id)), nil
	case "version":
		return value{text: "PostgreSQL 17.0 (standin)"}, nil
	}

	return evaluate(e, parameters)
}

// internal answers the proxy's own queries.
func (s *session) internal(ctx context.Context, st *labsql.Statement) (*result, error) {
	m := s.member

	if st.Kind == labsql.Promote {
		if err := sleep(ctx, m.group.PromotionCost); err != nil {
			return nil, err
		}
	}

	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	r := &result{columns: describe(st), tag: tagSelect}

	switch st.Kind {
	case labsql.Promote:
		if err := m.promote(); err != nil {
			if errors.Is(err, errNotInRecovery) {
				return nil, errPromoted
			}

			return nil, err
		}

		r.next = rows([]value{boolean(true)})
	case labsql.SwitchPoint:
		r.next = rows([]value{m.lastReplayed()})
	default:
		timeline, replayed, received := m.reported()
		r.next = rows([]value{boolean(m.recovery), integer(int64(timeline)), position(replayed), position(received)})
	}

	return r, nil
}

// lastReplayed is pg_last_wal_replay_lsn: NULL on a member that was not in recovery since its start.
func (m *Member) lastReplayed() value {
	switch {
	case m.recovery:
		m.advance()
		return position(m.positionAt(m.replayed).Offset)
	case m.switched:
		return position(m.switchAt)
	}

	return value{null: true}
}
