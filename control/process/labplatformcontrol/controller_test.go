package labplatformcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/process/labtransport"
)

const eventuallyTimeout = 15 * time.Second

// jsonReader reads documents of the form {"Version": n}.
type jsonReader struct{}

func (jsonReader) Read(source []byte) (*lab.Configuration, error) {
	d := &lab.Configuration{Source: source}

	if err := json.Unmarshal(source, d); err != nil {
		return d, err
	}

	return d, d.IndexOrganisations()
}

type unavailablePlatform struct{}

func (unavailablePlatform) Dial(context.Context, lab.Announcement, string) (lab.MemberConnection, error) {
	return nil, errors.New("no member")
}

func (unavailablePlatform) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errors.New("no member")
}

func (unavailablePlatform) Promote(context.Context, string, string, uint64) error {
	return errors.New("no platform")
}

// cluster runs control instances in the test process.
type cluster struct {
	t           *testing.T
	seeds       []string
	zones       []string
	folders     []string
	controllers []*Controller
	stops       []func(kill bool)
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()

	c := &cluster{t: t, controllers: make([]*Controller, n), stops: make([]func(bool), n)}
	transports := make([]*labtransport.Transport, n)

	for i := range n {
		transports[i] = c.listen("127.0.0.1:0")
		c.seeds, c.zones = append(c.seeds, transports[i].BoundAddress()), append(c.zones, fmt.Sprint("zone-", i))
		c.folders = append(c.folders, t.TempDir())
	}

	for i := range n {
		c.run(i, transports[i], true)
	}

	t.Cleanup(func() {
		for i := range n {
			c.stop(i)
		}
	})

	return c
}

func (c *cluster) listen(address string) *labtransport.Transport {
	c.t.Helper()

	e := &labkeys.SelfSignedIdentity{Name: "control"}
	assert.NilError(c.t, e.Generate())

	x := &labtransport.Transport{Address: address, Identity: e, Log: zerolog.Nop()}
	assert.NilError(c.t, x.Listen())

	return x
}

func (c *cluster) run(i int, x *labtransport.Transport, newDeployment bool) {
	seeds := slices.Clone(c.seeds)
	k := &Controller{
		AvailabilityZone: c.zones[i], Address: c.seeds[i], Seeds: func() []string { return seeds }, NewDeployment: newDeployment, ToleratedLosses: 1,
		DataFolder: c.folders[i], Transport: x, Clock: labclock.NewBootClock(), Random: labrandom.New(),
		DocumentReader: jsonReader{}, Dialer: unavailablePlatform{}, PromotionClient: unavailablePlatform{}, Log: zerolog.Nop(),
	}
	k.Prepare()

	ctx, cancel := context.WithCancel(context.Background())
	serving, cancelServing := context.WithCancel(context.Background())
	ended, closed := make(chan struct{}), make(chan struct{})

	go func() { _ = k.Run(ctx); close(ended) }()
	go func() { _ = x.Run(serving); close(closed) }()

	c.controllers[i] = k
	c.stops[i] = func(kill bool) {
		if kill {
			cancelServing()
			<-closed
		}

		cancel()
		<-ended
		cancelServing()
		<-closed
	}
}

func (c *cluster) stop(i int) { c.end(i, false) }

// end stops an instance, or ends it without a notice to the others.
func (c *cluster) end(i int, kill bool) {
	if c.stops[i] != nil {
		c.stops[i](kill)
		c.stops[i] = nil
	}
}

// add starts an instance in a zone, which joins the group.
func (c *cluster) add(zone string) int {
	c.t.Helper()

	x, i := c.listen("127.0.0.1:0"), len(c.controllers)
	c.seeds, c.folders = append(c.seeds, x.BoundAddress()), append(c.folders, c.t.TempDir())
	c.zones = append(c.zones, zone)
	c.controllers, c.stops = append(c.controllers, nil), append(c.stops, nil)
	c.run(i, x, false)
	c.t.Cleanup(func() { c.stop(i) })

	return i
}

func (c *cluster) restart(i int) {
	c.t.Helper()
	c.run(i, c.listen(c.seeds[i]), false)
}

func (c *cluster) eventually(what string, check func() bool) {
	c.t.Helper()

	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if check() {
			return
		}
	}

	c.t.Fatalf("condition not reached in time: %s", what)
}

func (c *cluster) put(i int, source string) {
	c.t.Helper()
	c.eventually("document accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		return c.controllers[i].Put(ctx, []byte(source)) == nil
	})
}

func (c *cluster) assertNewest(i int, want string) {
	c.t.Helper()
	c.eventually("document read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		b, _, err := c.controllers[i].Get(ctx)
		if err != nil {
			return false
		}

		assert.Equal(c.t, string(b), want)

		return true
	})
}

func TestDocuments(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	t.Run("versions", func(t *testing.T) {
		c.put(1, `{"Version":3}`)
		c.put(2, `{"Version":4, "other":1}`)

		for i := range 3 {
			c.assertNewest(i, `{"Version":4}`)
		}

		err := c.controllers[0].Put(t.Context(), []byte(`{`))
		assert.Assert(t, errors.Is(err, ErrInvalid))
	})

	t.Run("all restart", func(t *testing.T) {
		for i := range 3 {
			c.stop(i)
		}

		for i := range 3 {
			c.restart(i)
		}

		c.assertNewest(1, `{"Version":4}`)
	})

	t.Run("disk lost, then another instance stopped", func(t *testing.T) {
		c.stop(2)
		assert.NilError(t, os.RemoveAll(c.folders[2]))
		c.restart(2)
		c.eventually("new identity replaces the lost one as a voter", func() bool {
			m := c.controllers[2].participation()

			return m.group != nil && len(m.group.Membership().Voters) == 3 && m.group.Membership().Voter(m.identity.id)
		})
		c.stop(0)
		c.put(1, `{"Version":8}`)
		c.assertNewest(2, `{"Version":8}`)
		c.restart(0)
		c.assertNewest(0, `{"Version":8}`)
	})

	// A full disk makes each write fail. If a failed write ended the process, the process would be restarted again and
	// again while the disk is full.
	t.Run("disk fails temporarily", func(t *testing.T) {
		c.stop(0)

		journal, aside := filepath.Join(c.folders[0], journalName), filepath.Join(c.folders[0], "aside")
		assert.NilError(t, os.Rename(journal, aside))
		assert.NilError(t, os.WriteFile(journal, nil, fileMode))
		c.restart(0)
		time.Sleep(2 * diskRetryDelay)
		c.assertNewest(1, `{"Version":8}`)

		assert.NilError(t, os.Remove(journal))
		assert.NilError(t, os.Rename(aside, journal))
		c.assertNewest(0, `{"Version":8}`)
	})
}

func TestMembers(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":1}`)

	a := lab.Announcement{Database: "s", Member: "m", Address: "127.0.0.1:1", Incarnation: 5, Sequence: 1, Primary: true}

	for i := range 3 {
		a.Sequence++
		c.eventually("announcement accepted", func() bool {
			return c.controllers[i].Announce(context.Background(), a) == nil
		})
	}

	c.eventually("stored everywhere", func() bool {
		for _, f := range c.folders {
			if _, err := os.Stat(filepath.Join(f, membersFile)); err != nil {
				return false
			}
		}

		return true
	})

	for i := range 3 {
		c.stop(i)
	}

	for i := range 3 {
		c.restart(i)
	}

	for _, k := range c.controllers {
		e, ok := k.primary("s")
		assert.Assert(t, ok)
		assert.Equal(t, e.Announcement.Member, "m")
	}
}
