package labreplica

import (
	"time"

	"laburnumlock.dev/lab"
)

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages between replicas.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteResponse
	KindVote
	KindVoteResponse
	KindAppend
	KindAppendResponse
	KindSnapshot
	KindSnapshotResponse
)

// Message is what replicas send to each other; it may be lost, duplicated or reordered.
type Message struct {
	Kind    Kind           `msgpack:"k"`
	From    lab.InstanceID `msgpack:"f"`
	To      lab.InstanceID `msgpack:"o"`
	Term    uint64         `msgpack:"t"`           // sender's term; in a pre-vote the term that it would campaign in
	Index   uint64         `msgpack:"i,omitempty"` // last, preceding, matching or snapshot index, depending on the kind
	LogTerm uint64         `msgpack:"l,omitempty"` // term of the entry at Index; in a rejection, of the entry at Hint
	Commit  uint64         `msgpack:"c,omitempty"` // leader's commit index
	Reject  bool           `msgpack:"r,omitempty"`
	Hint    uint64         `msgpack:"h,omitempty"` // in a rejected append, the highest index that may match
	Round   uint64         `msgpack:"n,omitempty"` // leader's confirmation round, echoed by answers
	SentAt  time.Duration  `msgpack:"s,omitempty"` // leader's clock at sending, echoed by answers
	Entries []lab.LogEntry `msgpack:"e,omitempty"`
	Chunk   *Chunk         `msgpack:"p,omitempty"`
}

// Chunk is a part of a snapshot's data.
type Chunk struct {
	Members Membership `msgpack:"m"`
	Offset  uint64     `msgpack:"o"` // bytes; in an answer, the offset expected next
	Total   uint64     `msgpack:"t"` // bytes of the whole data
	Data    []byte     `msgpack:"d"`
}
