package labstandin

import (
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

var errNotInRecovery = errors.New("recovery is not in progress")

// advanceReplication makes a replica receive all records that are older than its lag. It then replays those that are
// older than the sum of its lag and its replay lag. No goroutine replicates in the background. Instead, every method
// that reads the data of a member, or injects a fault that affects replication, calls advanceReplication first. The
// caller holds the group's lock.
func (m *Member) advanceReplication() {
	if !m.recovery || !m.running || m.thawed != nil {
		return
	}

	now := time.Now()

	if s := m.replicationSource(); s != nil {
		for n := len(m.wal); n < len(s.wal) && !s.wal[n].committedAt.Add(m.lag).After(now); n++ {
			m.wal = append(m.wal, s.wal[n])
		}
	}

	for m.replayed < len(m.wal) && !m.wal[m.replayed].committedAt.Add(m.lag+m.replayLag).After(now) {
		applyRecord(m.rows, m.wal[m.replayed])
		m.replayed++
	}
}

func (g *Group) advanceReplication() {
	for _, m := range g.members {
		m.advanceReplication()
	}
}

// replicationSource returns the newest primary if the member can replicate from it. It returns nil if the primary does
// not run or is frozen, if one of the two is isolated, or if the member has diverged.
func (m *Member) replicationSource() *Member {
	s := m.group.newestPrimary
	if s == m || s.recovery || !s.running || s.thawed != nil || s.isolated || m.isolated {
		return nil
	}

	n := len(m.wal)
	if n > len(s.wal) || n > 0 && m.wal[n-1] != s.wal[n-1] {
		return nil
	}

	return s
}

// promote replays all received WAL, ends recovery and starts the next timeline. The caller holds the group's lock.
func (m *Member) promote() error {
	if !m.recovery {
		return errNotInRecovery
	}

	m.group.advanceReplication()

	for ; m.replayed < len(m.wal); m.replayed++ {
		applyRecord(m.rows, m.wal[m.replayed])
	}

	p := m.positionAt(len(m.wal))
	timeline := m.group.highestTimeline() + 1
	m.recovery, m.promoted, m.switchOffset = false, true, p.Offset
	m.group.newestPrimary = m
	m.appendRecord(&record{timeline: timeline, endOffset: p.Offset + recordOverheadBytes, committedAt: time.Now()})

	return nil
}

// highestTimeline returns the highest timeline of all members. A promotion starts the timeline after the highest, so
// that no two promotions start the same timeline, as in PostgreSQL with a shared archive.
func (g *Group) highestTimeline() lab.PrimaryTerm {
	highest := lab.PrimaryTerm(1)
	for _, m := range g.members {
		highest = max(highest, m.positionAt(len(m.wal)).Term)
	}

	return highest
}

// rewind drops the records that the WAL of the newest primary does not contain, and rebuilds the rows from the
// remaining records. The caller holds the group's lock.
func (m *Member) rewind() {
	s := m.group.newestPrimary

	n := min(len(m.wal), len(s.wal))
	for n > 0 && m.wal[n-1] != s.wal[n-1] {
		n--
	}

	m.wal = append([]*record(nil), m.wal[:n]...)
	m.replayed = n
	m.rows = map[string]map[string]Row{}

	for _, r := range m.wal {
		applyRecord(m.rows, r)
	}
}

// reportedPositions returns the values that lab.PositionQuery reports. The caller holds the group's lock.
func (m *Member) reportedPositions() (timeline lab.PrimaryTerm, replayed, received uint64) {
	if m.recovery {
		m.advanceReplication()
	}

	last := m.positionAt(len(m.wal))
	if !m.recovery {
		return last.Term, last.Offset, last.Offset
	}

	return last.Term, m.positionAt(m.replayed).Offset, last.Offset
}
