package labagent

import (
	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// RotateAddresses returns the addresses in the order in which an instance tries them: the list rotated by the instance's hash,
// so that the instances of a lost control instance spread evenly over the others.
func RotateAddresses(addresses []string, instance lab.InstanceID) []string {
	if len(addresses) == 0 {
		return nil
	}

	n := int(xxhash.Sum64String(string(instance)) % uint64(len(addresses)))

	return append(append([]string{}, addresses[n:]...), addresses[:n]...)
}
