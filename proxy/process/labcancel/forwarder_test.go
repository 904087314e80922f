package labcancel_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/process/labcancel"
)

// recorder is a lab.PeerClient that records the called addresses.
type recorder struct {
	lab.PeerClient
	lock   sync.Mutex
	called []string
}

func (r *recorder) Call(_ context.Context, address string, _ lab.Method, _, _ any) error {
	r.lock.Lock()
	defer r.lock.Unlock()

	r.called = append(r.called, address)

	return nil
}

// proxiesSharingNumber returns two proxies with the same proxy number, and one with another number.
func proxiesSharingNumber() []lab.Instance {
	seen := map[uint32]lab.Instance{}

	for n := 0; ; n++ {
		id := lab.InstanceID(fmt.Sprint("proxy-", n))
		i := lab.Instance{ID: id, Address: string(id)}

		if j, taken := seen[labsession.ProxyNumber(id)]; taken {
			return []lab.Instance{j, i, {ID: id + "x", Address: "other"}}
		}

		seen[labsession.ProxyNumber(id)] = i
	}
}

// Guards against a cancel request that is lost because two proxies share a number, or that is sent to all proxies.
func TestForward(t *testing.T) {
	list := proxiesSharingNumber()
	number := labsession.ProxyNumber(list[0].ID)

	testForward := func(self lab.Instance, want ...string) func(*testing.T) {
		return func(t *testing.T) {
			r := &recorder{}
			f := &labcancel.Forwarder{Self: self, Proxies: func() []lab.Instance { return list }, Peers: r}
			f.Forward(t.Context(), number, labsession.CancelKey{})
			slices.Sort(r.called)
			slices.Sort(want)
			assert.DeepEqual(t, r.called, want)
		}
	}

	t.Run("from another number", testForward(list[2], list[0].Address, list[1].Address))
	t.Run("from the same number", testForward(list[0], list[1].Address))
}
