package labfront

import (
	"math"
	"syscall"
)

// reservedDescriptors is how many connections can be accepted before those over the limit are closed again. gnet stops the
// whole listener when accept finds no free descriptor, so this many stay free.
const reservedDescriptors = 4096

// descriptorLimit returns how many connections the process's file descriptors allow.
func descriptorLimit() int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil {
		return math.MaxInt
	}

	n := int(min(r.Cur, math.MaxInt32))

	return n - min(reservedDescriptors, n/4)
}
