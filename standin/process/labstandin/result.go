package labstandin

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

type column struct {
	name string
	oid  uint32 // type OID
}

// result is the result of one statement. Its rows are generated while they are sent.
type result struct {
	columns []column       // columns of the rows; nil for statements that return no rows
	next    func() []value // returns the next row, or nil after the last one; nil for statements that return no rows
	tag     string         // command tag; commandComplete adds the number of rows to that of a SELECT
	sent    int            // number of rows sent
}

// flushThresholdBytes is the total size of buffered row values above which sendRows sends them to the client.
const flushThresholdBytes = 64 << 10

// resultColumns returns the columns of a statement's result, or nil if the statement returns no rows.
func resultColumns(st *labsql.Statement) []column {
	switch st.Kind {
	case labsql.SelectRows:
		columns := make([]column, len(st.Columns))
		for i, c := range st.Columns {
			columns[i] = column{c, labsql.TypeText}
		}

		return columns
	case labsql.SelectValues:
		columns := make([]column, len(st.Expressions))
		for i, e := range st.Expressions {
			columns[i] = column{e.Name, e.Type}
		}

		return columns
	case labsql.SelectCount:
		return []column{{"count", labsql.TypeInt8}}
	case labsql.SelectSeries:
		return []column{{"generate_series", labsql.TypeInt4}}
	case labsql.PositionQuery:
		return []column{
			{"in_recovery", labsql.TypeBool},
			{"timeline", labsql.TypeInt4},
			{"replayed", labsql.TypeLSN},
			{"received", labsql.TypeLSN},
		}
	case labsql.PromoteQuery:
		return []column{{"pg_promote", labsql.TypeBool}}
	case labsql.SwitchPointQuery:
		return []column{{"switch_point", labsql.TypeLSN}}
	case labsql.Show:
		return []column{{st.Setting, labsql.TypeText}}
	}

	return nil
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}

	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: typeSize(c.oid), TypeModifier: -1,
			Format: formatAt(formats, i),
		})
	}

	return d
}

func typeSize(oid uint32) int16 {
	switch oid {
	case labsql.TypeBool:
		return 1
	case labsql.TypeInt2:
		return 2
	case labsql.TypeInt4, labsql.TypeVoid:
		return 4
	case labsql.TypeInt8, labsql.TypeFloat, labsql.TypeLSN:
		return 8
	}

	return -1
}

// formatAt returns the format code of column or parameter i. As the protocol defines, an empty list means the text
// format for all columns or parameters, and a list with one code applies to all of them.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}

	return 0
}

// rowIterator returns a function that returns the given rows one after another, then nil.
func rowIterator(all ...[]value) func() []value {
	return func() []value {
		if len(all) == 0 {
			return nil
		}

		r := all[0]
		all = all[1:]

		return r
	}
}

// sendRows sends up to limit rows, or all rows if limit is 0. It reports whether it stopped at the limit.
func (s *session) sendRows(r *result, formats []int16, limit uint32) (bool, error) {
	var sent uint32

	buffered := 0

	for r.next != nil {
		if limit > 0 && sent == limit {
			return true, nil
		}

		v := r.next()
		if v == nil {
			break
		}

		d := &pgproto3.DataRow{Values: make([][]byte, len(v))}
		for i := range v {
			d.Values[i] = v[i].encode(r.columns[i].oid, formatAt(formats, i))
			buffered += len(d.Values[i])
		}

		s.backend.Send(d)

		sent++
		r.sent++

		if buffered > flushThresholdBytes {
			buffered = 0

			if err := s.flush(); err != nil {
				return false, err
			}
		}
	}

	return false, nil
}

func (r *result) commandComplete() *pgproto3.CommandComplete {
	tag := r.tag
	if r.columns != nil && tag == tagSelect {
		tag += " " + strconv.Itoa(r.sent)
	}

	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

const tagSelect = "SELECT"
