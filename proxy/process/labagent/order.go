package labagent

import (
	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// RotateAddresses returns the addresses of the control instances in the order in which an instance tries them: the list
// starts at an index that the instance's hash selects. When a control instance is lost, its proxies spread evenly over
// the others.
func RotateAddresses(addresses []string, instance lab.InstanceID) []string {
	if len(addresses) == 0 {
		return nil
	}

	n := int(xxhash.Sum64String(string(instance)) % uint64(len(addresses)))

	return append(append([]string{}, addresses[n:]...), addresses[:n]...)
}
