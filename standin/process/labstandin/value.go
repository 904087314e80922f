package labstandin

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// value is a column value or parameter in text form.
type value struct {
	text string
	null bool
}

const binaryFormat = 1

// encode returns the value in the given format, or nil for NULL.
func (v value) encode(oid uint32, format int16) []byte {
	if v.null {
		return nil
	}

	if format != binaryFormat {
		return []byte(v.text)
	}

	switch oid {
	case labsql.TypeBool:
		if v.text == "t" {
			return []byte{1}
		}

		return []byte{0}
	case labsql.TypeInt4:
		n, _ := strconv.ParseInt(v.text, 10, 32)
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case labsql.TypeInt8:
		n, _ := strconv.ParseInt(v.text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case labsql.TypeFloat:
		f, _ := strconv.ParseFloat(v.text, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	case labsql.TypeLSN:
		return binary.BigEndian.AppendUint64(nil, parseLSN(v.text))
	}

	return []byte(v.text)
}

// decodeParameter converts a parameter in text or binary format to a value. It supports the binary format only for the
// types that a parameter of a statement can have.
func decodeParameter(data []byte, oid uint32, format int16) (value, error) {
	if data == nil {
		return value{null: true}, nil
	}

	if format != binaryFormat {
		return value{text: string(data)}, nil
	}

	switch {
	case oid == labsql.TypeBool && len(data) == 1:
		return value{text: map[bool]string{true: "t", false: "f"}[data[0] != 0]}, nil
	case oid == labsql.TypeInt2 && len(data) == 2:
		return integerValue(int64(int16(binary.BigEndian.Uint16(data)))), nil
	case oid == labsql.TypeInt4 && len(data) == 4:
		return integerValue(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case oid == labsql.TypeInt8 && len(data) == 8:
		return integerValue(int64(binary.BigEndian.Uint64(data))), nil
	case oid == labsql.TypeFloat && len(data) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(data))
		return value{text: strconv.FormatFloat(f, 'g', -1, 64)}, nil
	case oid == labsql.TypeText:
		return value{text: string(data)}, nil
	}

	return value{}, errInvalidParameter
}

func integerValue(n int64) value {
	return value{text: strconv.FormatInt(n, 10)}
}

func booleanValue(b bool) value {
	if b {
		return value{text: "t"}
	}

	return value{text: "f"}
}

// lsnValue formats an offset as pg_lsn text.
func lsnValue(offset uint64) value {
	high := strconv.FormatUint(offset>>32, 16)
	low := strconv.FormatUint(offset&math.MaxUint32, 16)

	return value{text: strings.ToUpper(high + "/" + low)}
}

func parseLSN(text string) uint64 {
	high, low, _ := strings.Cut(text, "/")
	h, _ := strconv.ParseUint(high, 16, 32)
	l, _ := strconv.ParseUint(low, 16, 32)

	return h<<32 | l
}
