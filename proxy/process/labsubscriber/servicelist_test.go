package labsubscriber

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/process/labservicelist"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// listingControl answers watches and keeps the list of services of the sender.
type listingControl struct {
	lists labservicelist.Receiver
	last  lab.ServiceChanges
	known []string
}

func (*listingControl) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errNoResponse
}

func (c *listingControl) Call(_ context.Context, _ string, _ lab.Method, r, response any) error {
	w := r.(lab.WatchRequest)
	a := lab.WatchResponse{LeaderEpoch: 1, ControlAddresses: []string{"a"}, ControlZones: []string{"z"}}
	c.last = w.Services

	var ok bool
	if c.known, ok = c.lists.Apply(w.Proxy, w.Services, 0); ok {
		a.ServicesRevision = w.Services.Revision
	}

	*response.(*lab.WatchResponse) = a

	return nil
}

// TestServiceList guards against a proxy that isn't sent the positions of the services that its clients use, and against
// one that sends its whole list with each watch.
func TestServiceList(t *testing.T) {
	start := func(services int) (*Subscriber, *listingControl) {
		d := &labdirectory.Directory{
			Dialer: &member{}, Clock: labclock.NewBootClock(), Random: labrandom.NewSeeded(1), Log: zerolog.Nop(),
			OnPrimaryUnreachable: func() {},
		}
		c := &lab.Configuration{Version: 1}

		var members []lab.Announcement

		for n := range services {
			name := fmt.Sprintf("s%d", n)
			c.Services = append(c.Services, lab.Service{Name: name, MaxConnections: 24})
			c.Routes = append(c.Routes, lab.Route{Database: name, Service: name})
			members = append(members, lab.Announcement{Database: name, Member: name + "-0", Address: "127.0.0.1:1", Incarnation: 1})
		}

		d.Install(c)
		d.UpdateMembers(members, nil, true)

		control := &listingControl{}
		s := &Subscriber{
			Proxy: lab.Instance{ID: "p"}, Peers: control, Directory: d, Seeds: func() []string { return []string{"a"} },
			Clock: labclock.NewBootClock(), Random: labrandom.NewSeeded(1), Log: zerolog.Nop(),
		}
		s.prepare()

		return s, control
	}
	watch := func(t *testing.T, s *Subscriber, c *listingControl, added int, want ...string) {
		t.Helper()
		assert.NilError(t, s.watch(t.Context()))
		assert.DeepEqual(t, c.known, want)
		assert.Equal(t, len(c.last.Added), added)
	}

	t.Run("many services", func(t *testing.T) {
		s, c := start(200)
		s.Directory.Route("s7")
		watch(t, s, c, 1, "s7")
		watch(t, s, c, 0, "s7")
		s.Directory.Route("s8")
		watch(t, s, c, 1, "s7", "s8")

		c.lists = labservicelist.Receiver{}

		watch(t, s, c, 0) // the restarted instance answers with all positions
		watch(t, s, c, 2, "s7", "s8")
	})

	t.Run("few services", func(t *testing.T) {
		s, c := start(8)
		watch(t, s, c, 0)
		assert.Equal(t, c.last.Revision, uint64(0), "all positions")
	})
}
