package labpeerclock

import "time"

// Clock relates a peer's clock to this process's clock. The zero value converts nothing. It is not safe for concurrent
// use.
type Clock struct {
	epoch                 uint64        // identifies the peer's clock
	requestSentAt         time.Duration // on this process's clock
	requestReceivedAtPeer time.Duration // on the peer's clock
	responseSentAtPeer    time.Duration // on the peer's clock
	responseReceivedAt    time.Duration // on this process's clock
}

// RecordExchange records the times of the newest request to a peer and its response: those of this process when it sent
// the request and received the response, and those of the peer when it received the request and sent the response. The
// epoch identifies the peer's clock.
func (c *Clock) RecordExchange(epoch uint64, sentAt, receivedAtPeer, sentAtPeer, receivedAt time.Duration) {
	c.epoch = epoch
	c.requestSentAt, c.requestReceivedAtPeer = sentAt, receivedAtPeer
	c.responseSentAtPeer, c.responseReceivedAt = sentAtPeer, receivedAt
}

// Epoch returns the epoch of the newest exchange, or 0 before the first.
func (c *Clock) Epoch() uint64 {
	return c.epoch
}

// ToPeer converts a time of this process to the peer's clock. The result is never later than the true time, and earlier
// by at most the duration of the exchange. It returns false before the first exchange.
func (c *Clock) ToPeer(t time.Duration) (time.Duration, bool) {
	return c.responseSentAtPeer + (t - c.responseReceivedAt), c.epoch != 0
}

// ToLocal converts a time of the peer to this process's clock. The result is never later than the true time, and earlier
// by at most the time that the request took. It returns false before the first exchange.
func (c *Clock) ToLocal(t time.Duration) (time.Duration, bool) {
	return c.requestSentAt + (t - c.requestReceivedAtPeer), c.epoch != 0
}
