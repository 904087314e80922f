package lab

import (
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Announcement is the description that a member periodically posts about itself.
type Announcement struct {
	Database         string `json:"database"          msgpack:"d"`
	Member           string `json:"member"            msgpack:"m"`
	Address          string `json:"address"           msgpack:"a"` // host:port for the PostgreSQL protocol
	Region           string `json:"region"            msgpack:"r"`
	AvailabilityZone string `json:"availability_zone" msgpack:"z"`
	Incarnation      uint64 `json:"incarnation"       msgpack:"i"` // grows with each start of the member
	Slots            int    `json:"slots"             msgpack:"s"` // number of statements run concurrently
	Connections      int    `json:"connections"       msgpack:"c"` // connections accepted from proxies and control
	Draining         bool   `json:"leaving"           msgpack:"l"`
	// Primary is true if the member announces that it is the primary; some members don't announce their role.
	Primary bool `json:"primary,omitempty" msgpack:"p,omitempty"`
	// Sequence grows with each announcement of an incarnation. It is 0 if the member does not number its announcements.
	Sequence uint64 `json:"sequence,omitempty" msgpack:"q,omitempty"`
	// Terminated is true if the member has stopped and will not start again.
	Terminated bool `json:"gone,omitempty" msgpack:"g,omitempty"`
	// Revived is the number of times that control has found this incarnation running after it had been recorded as ended.
	Revived uint64 `json:"revived,omitempty" msgpack:"v,omitempty"`
}

// Limits of the fields of an announcement. Sequences and incarnations above them can only come from a faulty sender; an
// accepted one would bar every later announcement of the member.
const (
	maxIncarnation = 253_402_300_799_999 // 9999-12-31 in Unix milliseconds; members without a clock count from 1
	maxSequence    = 1 << 53             // largest whole number that every JSON encoder writes exactly
	maxSlots       = 1 << 20
)

// Validate returns an error if a field has a value that no member can have. Every reader of announcements calls it,
// since one faulty entry in a list must not stop those who follow the list.
func (a Announcement) Validate() error {
	if err := CheckName(a.Member); err != nil {
		return errors.Newf("member: %w", err)
	}

	switch {
	case a.Incarnation > maxIncarnation:
		return errors.Newf("member %q: incarnation %d is out of range", a.Member, a.Incarnation)
	case a.Sequence > maxSequence:
		return errors.Newf("member %q: sequence %d is out of range", a.Member, a.Sequence)
	case a.Terminated:
		return nil // the other fields may be unknown
	case min(a.Slots, a.Connections) < 0 || max(a.Slots, a.Connections) > maxSlots:
		return errors.Newf("member %q: %d slots and %d connections are out of range", a.Member, a.Slots, a.Connections)
	}

	if err := CheckName(a.Database); err != nil {
		return errors.Newf("member %q: service: %w", a.Member, err)
	}

	for _, text := range []string{a.Region, a.AvailabilityZone, a.Address} {
		if err := checkText(text); err != nil {
			return errors.Newf("member %q: %w", a.Member, err)
		}
	}

	host, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return errors.Newf("member %q: address: %w", a.Member, err)
	}

	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Newf("member %q: address %q needs a host and a port from 1 to 65535", a.Member, a.Address)
	}

	return nil
}

// WithSequence returns the announcement with another sequence, for a comparison that ignores it.
func (a Announcement) WithSequence(sequence uint64) Announcement {
	a.Sequence = sequence

	return a
}

// MemberStatus is one observation of a member, read over the PostgreSQL protocol.
type MemberStatus struct {
	Database       string        `json:"database"    msgpack:"d"`
	Member         string        `json:"member"      msgpack:"m"`
	Reachable      bool          `json:"reachable"   msgpack:"u"` // judged by attempts to open a new connection
	UnreachableFor time.Duration `json:"lost_for"    msgpack:"l"` // time for which it has been unreachable; else 0
	InRecovery     bool          `json:"in_recovery" msgpack:"y"`
	Replayed       WALPosition   `json:"replayed"    msgpack:"p"` // end of the replayed WAL
	Received       WALPosition   `json:"received"    msgpack:"r"` // end of the received WAL
}
