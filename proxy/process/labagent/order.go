package labagent

import (
	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// RotateAddresses returns the addresses of the control instances in the order in which the given instance tries them.
// It rotates the list to start at an index that the hash of the instance's ID selects. Both the first tries and the
// second tries of all instances are therefore spread evenly over the control instances.
func RotateAddresses(addresses []string, instance lab.InstanceID) []string {
	if len(addresses) == 0 {
		return nil
	}

	n := int(xxhash.Sum64String(string(instance)) % uint64(len(addresses)))

	return append(append([]string{}, addresses[n:]...), addresses[:n]...)
}
