package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memory of the machines (`memoryMb`), in kilobytes. The users have 136 MB; it is lowered to show within
	// the time of a script what takes longer on their machines.
	memoryLimit = 40 << 10
	crowdTime   = 85 * time.Second
	sentAhead   = 16   // statements that a client of the crowd sends ahead
	crowdID     = "5d" // begins the ids of its statements
)

// resident returns the memory of a role's process in kilobytes, 0 if it doesn't run.
func (n *node) resident(role string) int {
	n.mutex.Lock()
	p := n.procs[role]
	n.mutex.Unlock()

	if p == nil {
		return 0
	}

	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}

	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			k, _ := strconv.Atoi(f[1])

			return k
		}
	}

	return 0
}

// guard ends the proxies that use more than the memory of their machine, as the platform does. They are started again then.
type guard struct {
	mutex sync.Mutex
	ends  map[string]int
	peak  int
}

func (g *guard) watch(d *deployment) {
	for i := 0; !d.lab.ended(); i++ {
		line := ""

		for _, n := range d.nodes {
			k := n.resident("proxy")
			line += fmt.Sprintf(" %d", k>>10)

			g.mutex.Lock()
			g.peak = max(g.peak, k)
			g.mutex.Unlock()

			if k > memoryLimit {
				d.lab.note("the proxy on %s uses %d MB, over the limit of %d MB", n.name, k>>10, memoryLimit>>10)

				g.mutex.Lock()
				g.ends[n.name]++
				g.mutex.Unlock()

				n.signal("proxy", syscall.SIGKILL)
				time.Sleep(50 * time.Millisecond)
			}
		}

		if i%50 == 0 {
			d.lab.note("memory of the proxies in MB:%s", line)
		}

		time.Sleep(100 * time.Millisecond)
	}
}

// crowd lets a crowd of clients send statements ahead, in a deployment with more proxies than a member accepts connections.
func crowd(l *lab, trouble bool) (int, error) {
	l.memoryMB = memoryLimit >> 10

	d, err := startDeployment(l)
	if err != nil {
		return 2, err
	}

	control := d.nodes
	d.group.control = func() []*node { return control }

	for h := 4; h <= 10; h++ {
		z := control[h%3]

		n := l.addNode(h, fmt.Sprintf("client_facing-%s-%d", z.zone, h), z.zone, z.region, false, z.seeds, true)
		if err := n.start("proxy"); err != nil {
			return 2, err
		}

		d.nodes = append(d.nodes, n)
	}

	connections := 6
	if os.Getenv("DIRECT") == "1" {
		connections = 34
	}

	next := strings.Replace(document(9, "ledger1"), `"maxConns":34`, fmt.Sprintf(`"maxConns":%d`, connections), 1)
	if !l.put(next, 5*time.Second, control...) {
		return 2, fmt.Errorf("the configuration was not acknowledged")
	}

	time.Sleep(8 * time.Second)

	g := &guard{ends: map[string]int{}}

	go g.watch(d)

	var (
		served, failed atomic.Int64
		wait           sync.WaitGroup
	)

	stop := time.Now().Add(crowdTime)

	for i := range 10 * len(d.nodes) {
		wait.Go(func() {
			for time.Now().Before(stop) {
				crowdClient(d.nodes[i%len(d.nodes)], trouble, stop, &served, &failed)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}

	wait.Wait()

	g.mutex.Lock()
	defer g.mutex.Unlock()

	machines := 0
	for _, n := range g.ends {
		if n >= 3 {
			machines++
		}
	}

	l.note("%d statements served, %d sessions ended early; peak %d MB; ends of proxies over the limit: %v",
		served.Load(), failed.Load(), g.peak>>10, g.ends)

	if machines >= 2 {
		return 1, nil
	}

	return 0, nil
}

// crowdClient sends reads on one session until it ends: sentAhead at a time, or one a second without the trouble.
func crowdClient(n *node, ahead bool, stop time.Time, served, failed *atomic.Int64) {
	s, err := net.DialTimeout("tcp", n.frontend(), time.Second)
	if err != nil {
		return
	}
	defer s.Close()

	r := bufio.NewReaderSize(s, 1<<14)
	_, _ = fmt.Fprintf(s, "STARTUP avail1 u1\r\n")
	_ = s.SetDeadline(time.Now().Add(2 * time.Second))

	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return
	}

	count := 1
	if ahead {
		count = sentAhead
	}

	for i := 0; time.Now().Before(stop); i++ {
		if !ahead {
			time.Sleep(time.Second)
		}

		text := ""
		for k := range count {
			text += fmt.Sprintf("QUERY %016x FETCH 1a4\r\n", 0x5d00000000000000+i*sentAhead+k)
		}

		_ = s.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = s.Write([]byte(text))

		for k := 0; k < count; {
			line, err := r.ReadString('\n')
			if err != nil {
				failed.Add(1)

				return
			}

			if strings.HasPrefix(line, "COMPLETE") {
				served.Add(1)
			}

			if strings.HasPrefix(line, "READY") {
				k++
			}
		}
	}
}
