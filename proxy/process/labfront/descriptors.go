package labfront

import (
	"math"
	"syscall"
)

// reservedDescriptors is the number of file descriptors that stay free for connections above the limit, which are
// accepted and then refused. Without a free descriptor, accept fails and gnet stops the whole listener.
const reservedDescriptors = 4096

// descriptorLimit returns the number of connections for which the process has enough file descriptors.
func descriptorLimit() int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil {
		return math.MaxInt
	}

	n := int(min(r.Cur, math.MaxInt32))

	return n - min(reservedDescriptors, n/4)
}
