package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// document returns a configuration with a database of each kind on a service.
func document(version int, service string) string {
	route := func(host, kind string, timeout, target, staleness int) string {
		return fmt.Sprintf(`{"name":"r-%s","host":"%s","pathPrefix":"/","kind":"%s","timeoutMs":%d,"targetLatencyMs":%d,`+
			`"priority":1,"service":"%s","maxAttempts":2,"maxStalenessMs":%d}`, host, host, kind, timeout, target, service, staleness)
	}

	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"%s","healthPath":"/healthz","maxConns":34,`+
		`"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}`, version, strings.Join([]string{
		route("booking1", "primary", 800, 400, 0), route("avail1", "bounded_staleness", 1500, 600, 1500),
		route("notes1", "read_your_writes", 800, 800, 2500),
	}, ","), service)
}

// deployment is a small deployment: three machines that serve control and consumers, and one service of three members.
type deployment struct {
	lab     *lab
	nodes   []*node
	group   *group
	members []*member
}

func startDeployment(l *lab) (*deployment, error) {
	seeds := []string{}
	for h := 1; h <= 3; h++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", l.ip(h), l.controlPort))
	}

	d := &deployment{lab: l}

	for h, z := range []string{"rajkot", "vadodara", "jamnagar"} {
		region := map[string]string{"vadodara": "gujarat-east"}[z]
		if region == "" {
			region = "gujarat-west"
		}

		d.nodes = append(d.nodes, l.addNode(h+1, "client_facing-"+z+"-1", z, region, true, seeds, true))
	}

	d.group = newGroup(l, "ledger1", func() []*node { return d.nodes })
	if err := servePlatform(l, d.group); err != nil {
		return nil, err
	}

	if err := d.startProcesses(); err != nil {
		return nil, err
	}

	if !l.put(document(3, "ledger1"), 15*time.Second, d.nodes...) {
		return nil, fmt.Errorf("the configuration was not acknowledged")
	}

	for h, z := range []string{"rajkot", "vadodara", "jamnagar"} {
		m, err := d.group.add(101+h, l.controlPort+5, fmt.Sprintf("i-%08x", 0x7f3a91c2+h), z)
		if err != nil {
			return nil, err
		}

		d.members = append(d.members, m)
	}

	time.Sleep(8 * time.Second)

	return d, nil
}

func (d *deployment) startProcesses() error {
	for _, n := range d.nodes {
		for _, role := range []string{"control", "proxy"} {
			if err := n.start(role); err != nil {
				return err
			}
		}
	}

	return nil
}

// killAll kills all processes of the machines and starts them again a second later.
func (d *deployment) killAll() error {
	for _, n := range d.nodes {
		for _, role := range []string{"control", "proxy"} {
			n.stop(role, syscall.SIGKILL, time.Second)
		}

		n.bootstrap = false
	}

	time.Sleep(time.Second)

	return d.startProcesses()
}

// odd sends one check-in of another writer, which lacks fields. Later the primary is lost, and all processes are killed.
func odd(l *lab, trouble bool) (int, error) {
	d, err := startDeployment(l)
	if err != nil {
		return 2, err
	}

	c := newConsumers(l, d.nodes)
	c.run("booking1", "STORE 1a4 xkqpwnzd", 150*time.Millisecond)
	c.run("avail1", "FETCH 1a4", 100*time.Millisecond)
	c.run("notes1", "FETCH 1a4", 100*time.Millisecond)
	time.Sleep(5 * time.Second)

	if trouble && os.Getenv("ODD") != "0" {
		body, _ := json.Marshal(map[string]any{
			"service": d.group.service, "address": fmt.Sprintf("%s:%d", l.ip(110), l.controlPort+5), "zone": "rajkot",
			"state": "ready", "dbRole": "replica", "sequence": 1, "born": time.Now().UnixMilli(),
		})
		s, text := call(http.MethodPut, d.nodes[0].controlURL()+"/-/instances/i-0ddba110", string(body))
		l.note("PUT /-/instances/i-0ddba110 at %s without version, capacity and warmupLeftMs: %d %q", d.nodes[0].name, s, text)
	}

	time.Sleep(5 * time.Second)

	fault := time.Now()

	if trouble {
		d.members[0].crash()
		time.Sleep(500 * time.Millisecond)

		if err := d.killAll(); err != nil {
			return 2, err
		}
	}

	back := time.Now()
	time.Sleep(12*time.Second + 20*time.Second)

	before, sentBefore := c.share(fault.Add(-8*time.Second), fault.Add(-time.Second))
	after, sentAfter := c.share(back.Add(12*time.Second), back.Add(29*time.Second))

	c.end()
	l.note("before the final fault %.0f%% of %d operations were served, later than 12 s after the machines were back %.0f%% of %d",
		100*before, sentBefore, 100*after, sentAfter)

	if before < 0.25 || sentAfter == 0 {
		return 2, fmt.Errorf("too little was served before the fault")
	}

	if after < 0.25 {
		return 1, nil
	}

	return 0, nil
}
