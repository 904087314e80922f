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

// Message is a message between two replicas. It may be lost, duplicated or reordered.
type Message struct {
	Kind Kind           `msgpack:"k"`
	From lab.InstanceID `msgpack:"f"`
	To   lab.InstanceID `msgpack:"o"`
	Term uint64         `msgpack:"t"` // sender's term; in a pre-vote, the term of the possible election
	// Index is a log index that depends on Kind. In a vote request, it is the sender's last index. In an append, it is
	// the index before Entries. In the response to an append, it is the matching or the rejected index. In a snapshot
	// message, it is the index of the snapshot.
	Index   uint64         `msgpack:"i,omitempty"`
	LogTerm uint64         `msgpack:"l,omitempty"` // term of the entry at Index; in a rejection, term of the entry at Hint
	Commit  uint64         `msgpack:"c,omitempty"` // leader's commit index
	Reject  bool           `msgpack:"r,omitempty"` // the response rejects the request
	Hint    uint64         `msgpack:"h,omitempty"` // in a rejected append, the highest index that may match
	Round   uint64         `msgpack:"n,omitempty"` // leader's heartbeat round, repeated in the response
	SentAt  time.Duration  `msgpack:"s,omitempty"` // leader's clock at sending, repeated in the response
	Entries []lab.LogEntry `msgpack:"e,omitempty"`
	Chunk   *Chunk         `msgpack:"p,omitempty"`
}

// Chunk is a part of the data of a snapshot.
type Chunk struct {
	Membership Membership `msgpack:"m"` // membership at the index of the snapshot
	Offset     uint64     `msgpack:"o"` // offset of Data in bytes; in a response, the offset of the next chunk to send
	Total      uint64     `msgpack:"t"` // size of the snapshot's data in bytes
	Data       []byte     `msgpack:"d"`
}
