package labinstance

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/request/laboperator"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	anyPort      = "127.0.0.1:0"
	testTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// changeCount is large enough for several snapshots, so that a new instance starts from a snapshot and not from the
	// log.
	changeCount = 700
	document    = `{"parameters": {"weight": 3}}`
)

// cluster runs control instances in this process.
type cluster struct {
	t         *testing.T
	authority *labkeys.Authority
	peers     []labsettings.Peer
	instances map[string]*runningInstance
	isolated  atomic.Pointer[lab.InstanceID] // instance that no other control instance can reach, or nil
}

type runningInstance struct {
	*Instance
	cancel context.CancelFunc
	done   chan error
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, authority: &labkeys.Authority{Folder: filepath.Join(t.TempDir(), "keys")},
		instances: map[string]*runningInstance{},
	}
	assert.NilError(t, c.authority.Init())
	assert.NilError(t, c.authority.Issue("operator", labkeys.RoleOperator))
	for _, n := range names {
		c.listen(c.settings(n))
		c.peers = append(c.peers, c.peer(n))
	}
	t.Cleanup(func() {
		for _, i := range c.instances {
			i.cancel()
		}
		for _, i := range c.instances {
			i.wait()
		}
	})

	return c
}

func (c *cluster) settings(name string) *labsettings.Control {
	c.t.Helper()
	assert.NilError(c.t, c.authority.Issue(name, labkeys.RoleInstance))

	return &labsettings.Control{
		Common: labsettings.Common{
			Instance: name, Region: "r", AvailabilityZone: "z", ProcessAddress: anyPort, AnnounceAddress: anyPort,
			MetricsAddress: anyPort, KeysFolder: c.authority.Folder, UpstreamUser: "u",
		},
		DataFolder: filepath.Join(filepath.Dir(c.authority.Folder), name), OperatorAddress: anyPort,
		SnapshotEntries: 100,
	}
}

func (c *cluster) listen(s *labsettings.Control) {
	c.t.Helper()
	i := &runningInstance{Instance: &Instance{Settings: s, Logger: zerolog.Nop()}, cancel: func() {}}
	i.admitPeer = func(peer lab.InstanceID) bool {
		isolated := c.isolated.Load()

		return isolated == nil || strings.HasPrefix(string(peer), "proxy") ||
			(*isolated != peer && string(*isolated) != s.Instance)
	}
	assert.NilError(c.t, i.Listen(c.t.Context()))
	s.ProcessAddress, s.OperatorAddress = i.ProcessAddress(), i.OperatorAddress()
	c.instances[s.Instance] = i
}

func (c *cluster) peer(name string) labsettings.Peer {
	s := c.instances[name].Settings

	return labsettings.Peer{Instance: name, ProcessAddress: s.ProcessAddress, OperatorAddress: s.OperatorAddress}
}

func (c *cluster) run(names ...string) {
	for _, name := range names {
		i := c.instances[name]
		if len(i.Settings.Peers) == 0 {
			i.Settings.Peers = c.peers
		}
		ctx, cancel := context.WithCancel(context.Background())
		i.cancel, i.done = cancel, make(chan error, 1)
		go func() { i.done <- i.Run(ctx) }()
	}
}

func (r *runningInstance) wait() error {
	if r.done == nil {
		return nil
	}
	err := <-r.done
	r.done = nil

	return err
}

func (c *cluster) stop(names ...string) {
	c.t.Helper()
	for _, n := range names {
		c.instances[n].cancel()
	}
	for _, n := range names {
		assert.NilError(c.t, c.instances[n].wait())
	}
}

// restart starts stopped instances again at the same addresses.
func (c *cluster) restart(names ...string) {
	c.t.Helper()
	for _, n := range names {
		c.listen(c.instances[n].Settings)
	}
	c.run(names...)
}

// loseDisk stops an instance and deletes its data folder.
func (c *cluster) loseDisk(name string) {
	c.t.Helper()
	c.stop(name)
	assert.NilError(c.t, os.RemoveAll(c.instances[name].Settings.DataFolder))
}

// join starts an instance that joins the group of the others under a new name, and returns its addresses.
func (c *cluster) join(name string, others ...string) laboperator.ControlAddresses {
	c.t.Helper()
	s := c.settings(name)
	s.Join = true
	c.listen(s)
	for _, n := range append(others, name) {
		s.Peers = append(s.Peers, c.peer(n))
	}
	c.run(name)

	return laboperator.ControlAddresses{Process: s.ProcessAddress, Operator: s.OperatorAddress}
}

// leader waits until one of the instances leads and returns its name.
func (c *cluster) leader(names ...string) string {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, n := range names {
			if i := c.instances[n]; i.done != nil && i.Leading() {
				return n
			}
		}
	}
	c.t.Fatal("no leader")

	return ""
}

// operator returns an operators' API client that uses the given instances.
func (c *cluster) operator(names ...string) *laboperator.Client {
	c.t.Helper()
	i := &labkeys.Identity{Folder: c.authority.Folder, Name: "operator"}
	assert.NilError(c.t, i.Load())
	o := &laboperator.Client{Identity: i, Attempts: 20}
	for _, n := range names {
		o.Addresses = append(o.Addresses, c.instances[n].Settings.OperatorAddress)
	}
	_, err := o.List(c.t.Context(), laboperator.KindTemplate) // creates the HTTP client before its concurrent use
	assert.NilError(c.t, err)

	return o
}

func put(ctx context.Context, o *laboperator.Client, name, id string, base uint64) (laboperator.ChangeResult, error) {
	return o.Put(ctx, laboperator.KindTemplate, name, laboperator.Change{ID: id, BaseVersion: base, Document: []byte(document)})
}

// makeChanges makes configuration changes concurrently and checks that each is accepted.
func (c *cluster) makeChanges(o *laboperator.Client, count int) {
	c.t.Helper()
	failures := make(chan error, count)
	numbers := make(chan int, count)
	for n := range count {
		numbers <- n
	}
	close(numbers)
	var workers sync.WaitGroup
	for range 16 {
		workers.Go(func() {
			for n := range numbers {
				_, err := put(c.t.Context(), o, fmt.Sprintf("t-%d", n), fmt.Sprintf("c-%d", n), 0)
				failures <- err
			}
		})
	}
	workers.Wait()
	close(failures)
	for err := range failures {
		assert.NilError(c.t, err)
	}
}

// assertChanges checks that all changes are stored and that the audit trail is intact.
func (c *cluster) assertChanges(o *laboperator.Client, count int) {
	c.t.Helper()
	names, err := o.List(c.t.Context(), laboperator.KindTemplate)
	assert.NilError(c.t, err)
	assert.Equal(c.t, len(names), count)
	var trail struct {
		Intact bool `json:"intact"`
	}
	assert.NilError(c.t, o.Do(c.t.Context(), "GET", "/v1/audit?limit=1", nil, &trail))
	assert.Assert(c.t, trail.Intact)
}
