package labagent

import (
	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// RotateAddresses returns the addresses of the control instances in the order in which the given instance tries them.
// It rotates the list to start at an index that the hash of the instance's ID selects. The instances thus spread evenly
// over the control instances that they try first, and over those that they try second.
func RotateAddresses(addresses []string, instance lab.InstanceID) []string {
	if len(addresses) == 0 {
		return nil
	}

	n := int(xxhash.Sum64String(string(instance)) % uint64(len(addresses)))

	return append(append([]string{}, addresses[n:]...), addresses[:n]...)
}
