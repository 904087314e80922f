package labupstream

import (
	"encoding/binary"
	"strconv"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	positionColumnCount   = 4              // columns of lab.PositionQuery
	positionStatementName = "lab_position" // name of the prepared lab.PositionQuery
)

// Position is the result of lab.PositionQuery on a member.
type Position struct {
	InRecovery bool            // the member is a replica
	Replayed   lab.WALPosition // position up to which the member has replayed WAL; on a primary, the current position
	Received   lab.WALPosition // position up to which the member has received WAL; on a primary, the current position
}

// parsePosition decodes the body of the DataRow that lab.PositionQuery returns.
func parsePosition(body []byte) (Position, error) {
	columns, err := parsePositionRow(body)
	if err != nil {
		return Position{}, err
	}

	timeline, err := strconv.ParseUint(columns[1], 10, 32)
	if err != nil {
		return Position{}, errors.Newf("parse timeline: %w", err)
	}

	replayed, err := lab.ParseLSN(columns[2])
	if err != nil {
		return Position{}, err
	}

	received, err := lab.ParseLSN(columns[3])
	if err != nil {
		return Position{}, err
	}

	term := lab.PrimaryTerm(timeline)

	return Position{
		InRecovery: columns[0] == "t",
		Replayed:   lab.WALPosition{Term: term, Offset: replayed},
		Received:   lab.WALPosition{Term: term, Offset: received},
	}, nil
}

// parsePositionRow splits the body of a DataRow into the columns of the position query. A null column becomes an empty
// string.
func parsePositionRow(body []byte) ([positionColumnCount]string, error) {
	var columns [positionColumnCount]string

	if len(body) < 2 || binary.BigEndian.Uint16(body) != positionColumnCount {
		return columns, errors.New("position row has a wrong number of columns")
	}

	body = body[2:]

	for i := range columns {
		if len(body) < 4 {
			return columns, errors.New("position row is cut short")
		}

		length := int32(binary.BigEndian.Uint32(body))
		body = body[4:]

		if length < 0 {
			continue
		}

		if int64(length) > int64(len(body)) {
			return columns, errors.New("position row is cut short")
		}

		columns[i], body = string(body[:length]), body[length:]
	}

	if len(body) > 0 {
		return columns, errors.New("position row has trailing bytes")
	}

	return columns, nil
}
