package lableaderclock

import "time"

// Clock relates the leader's clock to this process's clock. The zero value converts nothing. It is not safe for
// concurrent use.
type Clock struct {
	epoch                   uint64 // leader epoch of the times below
	requestSentAt           time.Duration
	requestReceivedAtLeader time.Duration
	responseSentAtLeader    time.Duration
	responseReceivedAt      time.Duration
}

// RecordExchange records the times of the newest request to the leader of an epoch and its response: those of this
// process when it sent the request and received the response, and those of the leader when it received the request and
// sent the response.
func (c *Clock) RecordExchange(epoch uint64, sentAt, receivedAtLeader, sentAtLeader, receivedAt time.Duration) {
	c.epoch = epoch
	c.requestSentAt, c.requestReceivedAtLeader = sentAt, receivedAtLeader
	c.responseSentAtLeader, c.responseReceivedAt = sentAtLeader, receivedAt
}

// ToLeader converts a time of this process to the leader's clock. The result is never later than the true time, and
// earlier by at most the time that the last response took. It returns false for the leader of another epoch.
func (c *Clock) ToLeader(epoch uint64, t time.Duration) (time.Duration, bool) {
	return c.responseSentAtLeader + (t - c.responseReceivedAt), c.epoch == epoch && epoch != 0
}

// ToLocal converts a time of the leader to this process's clock. The result is never later than the true time, and
// earlier by at most the time that the last request took. It returns false for the leader of another epoch.
func (c *Clock) ToLocal(epoch uint64, t time.Duration) (time.Duration, bool) {
	return c.requestSentAt + (t - c.requestReceivedAtLeader), c.epoch == epoch && epoch != 0
}
