package labinstance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labtransport"
)

const isolationTime = 2 * time.Second

// Guards against an isolated leader that presents outdated data as current, to operators or to proxies.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run("a", "b", "c")
	old := c.leader("a", "b", "c")
	c.makeChanges(c.operator("a", "b", "c"), 20)

	var accepted atomic.Uint64 // configuration version that operators know to be accepted
	accepted.Store(20)
	ctx, cancel := context.WithCancel(t.Context())
	var watchers sync.WaitGroup
	var faults, statuses, renewals textList
	var watched atomic.Value // name of the instance whose status is requested
	watched.Store(old)
	watchers.Go(func() { c.watchStatus(ctx, &watched, &accepted, &faults, &statuses) })
	watchers.Go(func() { c.watchProxy(ctx, &accepted, &faults, &renewals) })
	answered := func() bool { return len(renewals.list()) >= len(c.peers) && statuses.contains("status of "+old+" ") }
	for end := time.Now().Add(testTimeout); !answered() || !c.instances[old].Leading(); time.Sleep(pollInterval) {
		assert.Assert(t, time.Now().Before(end), "no responses before the isolation")
		// A busy machine may change the leader, and only the leader answers with its status.
		old = c.leader("a", "b", "c")
		watched.Store(old)
	}

	rest := slices.DeleteFunc([]string{"a", "b", "c"}, func(n string) bool { return n == old })
	id := lab.InstanceID(old)
	c.isolated.Store(&id)
	o := c.operator(rest...)
	n := 0
	for end := time.Now().Add(isolationTime); time.Now().Before(end); n++ {
		a, err := put(t.Context(), o, fmt.Sprintf("isolated-%d", n), fmt.Sprintf("isolated-%d", n), 0)
		assert.NilError(t, err)
		accepted.Store(a.AcceptedVersion)
		time.Sleep(pollInterval)
	}
	stillLeads := c.instances[old].Leading()
	c.isolated.Store(nil)
	time.Sleep(isolationTime / 2)
	cancel()
	watchers.Wait()

	if found := faults.list(); len(found) > 0 {
		t.Fatalf("%d outdated responses, the first: %s", len(found), found[0])
	}
	c.assertChanges(c.operator(old), 20+n)
	t.Logf("changes during isolation: %d, status responses: %d, renewals: %d", n,
		len(statuses.list()), len(renewals.list()))
	assert.Assert(t, len(renewals.list()) > 10)
	assert.Assert(t, !stillLeads, "the isolated instance still leads")
}

type textList struct {
	lock  sync.Mutex
	texts []string
}

func (f *textList) add(format string, a ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.texts = append(f.texts, fmt.Sprintf(format, a...))
}

func (f *textList) list() []string {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.texts
}

func (f *textList) contains(prefix string) bool {
	return slices.ContainsFunc(f.list(), func(s string) bool { return strings.HasPrefix(s, prefix) })
}

// watchStatus requests the status of the watched instance and follows no redirects. A response must include every
// change that was accepted before the request.
func (c *cluster) watchStatus(
	ctx context.Context, watched *atomic.Value, accepted *atomic.Uint64, faults, statuses *textList,
) {
	i := &labkeys.Identity{Folder: c.authority.Folder, Name: "operator"}
	if err := i.Load(); err != nil {
		faults.add("%v", err)

		return
	}
	client := &http.Client{
		Transport:     &http.Transport{TLSClientConfig: i.TLS("http/1.1")},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for ctx.Err() == nil {
		known, name := accepted.Load(), watched.Load().(string)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet,
			"https://"+c.instances[name].Settings.OperatorAddress+"/v1/status", nil)
		response, err := client.Do(r)
		if err != nil {
			continue
		}
		var s struct {
			Version uint64 `json:"accepted_version"`
		}
		err = json.NewDecoder(response.Body).Decode(&s)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			statuses.add("status of %s %d", name, s.Version)
			if s.Version < known {
				faults.add("status response has version %d after %d was accepted", s.Version, known)
			}
		}
		time.Sleep(pollInterval / 4)
	}
}

// watchProxy sends heartbeats as a proxy does, to each instance in turn, including the isolated one.
func (c *cluster) watchProxy(ctx context.Context, accepted *atomic.Uint64, faults, renewals *textList) {
	_ = c.authority.Issue("proxy-1", labkeys.RoleInstance)
	i := &labkeys.Identity{Folder: c.authority.Folder, Name: "proxy-1"}
	if err := i.Load(); err != nil {
		faults.add("%v", err)

		return
	}
	transport := &labtransport.Transport{Address: anyPort, Identity: i, Log: zerolog.Nop()}
	if err := transport.Listen(); err != nil {
		faults.add("%v", err)

		return
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = transport.Run(ctx) }()
	defer func() { <-ended }()
	h := lab.Heartbeat{Instance: lab.Instance{
		ID: "proxy-1", Incarnation: 1, Region: "r", AvailabilityZone: "z", Address: transport.BoundAddress(),
	}}
	var version uint64
	for n := 0; ctx.Err() == nil; n++ {
		h.RequestID++ // a heartbeat with an earlier request id renews nothing
		known := accepted.Load()
		call, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		var a lab.HeartbeatResponse
		err := transport.Call(call, c.peers[n%len(c.peers)].ProcessAddress, lab.MethodHeartbeat, h, &a)
		cancel()
		if err == nil && a.TTL > 0 {
			renewals.add("heartbeat %d", a.Delta.Version)
			if a.Delta.Version < max(known, version) || a.Delta.Index < h.AppliedIndex {
				faults.add("heartbeat response has version %d and index %d after version %d and index %d",
					a.Delta.Version, a.Delta.Index, known, h.AppliedIndex)
			}
			version, h.AppliedIndex = a.Delta.Version, a.Delta.Index
		}
		time.Sleep(pollInterval / 4)
	}
}
