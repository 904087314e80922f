package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab is a small deployment on loopback addresses, with a record of what was sent, answered and run.
type lab struct {
	temp                                                   string
	subnet                                                 int // second byte of the loopback addresses
	frontendPort, readinessPort, controlPort, internalPort int
	platform                                               string // address of the platform's interface
	memoryMB                                               int    // memory of a machine in MB

	started time.Time
	record  *os.File
	mutex   sync.Mutex
	nodes   []*node
	over    bool
}

// newLab prepares a deployment whose record goes to record.txt in the folder of the case.
func newLab(folder string) (*lab, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}

	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	l := &lab{temp: temp, started: time.Now(), record: f, memoryMB: 284}

	return l, l.choosePorts()
}

// choosePorts finds ports that are free on the addresses of a random loopback network.
func (l *lab) choosePorts() error {
	for range 50 {
		l.subnet = 20 + rand.IntN(200)
		base := 12000 + 40*rand.IntN(400)
		l.frontendPort, l.readinessPort, l.controlPort, l.internalPort = base, base+1, base+2, base+10
		l.platform = fmt.Sprintf("%s:%d", l.ip(200), base+3)

		if l.free(base) {
			return nil
		}
	}

	return fmt.Errorf("no free ports")
}

func (l *lab) free(base int) bool {
	for host := 1; host <= 12; host++ {
		for p := base; p < base+26; p++ {
			a := fmt.Sprintf("%s:%d", l.ip(host), p)

			t, err := net.Listen("tcp", a)
			if err != nil {
				return false
			}

			_ = t.Close()
		}
	}

	return true
}

func (l *lab) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", l.subnet, host) }

// note writes a line to the record.
func (l *lab) note(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	line := fmt.Sprintf("%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
	_, _ = l.record.WriteString(line)

	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

func (l *lab) ended() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.over
}

func (l *lab) addNode(host int, name, zone, region string, control bool, seeds []string, bootstrap bool) *node {
	n := &node{
		name: name, ip: l.ip(host), zone: zone, region: region, control: control, seeds: seeds, bootstrap: bootstrap, lab: l,
		procs: map[string]*process{},
	}
	l.nodes = append(l.nodes, n)

	return n
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	l.mutex.Lock()
	l.over = true
	l.mutex.Unlock()

	for _, n := range l.nodes {
		for _, role := range []string{"proxy", "control"} {
			n.stop(role, syscall.SIGKILL, time.Second)
		}
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.temp)
	} else {
		fmt.Println("kept", l.temp)
	}

	_ = l.record.Close()
}

var client = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// call sends an HTTP request and returns the status, or 0 without a response.
func call(method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}

	r.Header.Set("Content-Type", "application/json")

	a, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()

	b, _ := io.ReadAll(a.Body)

	return a.StatusCode, string(b)
}

// put sends a configuration to the nodes in turn until one acknowledges it. It returns false after the limit.
func (l *lab) put(document string, limit time.Duration, nodes ...*node) bool {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		n := nodes[i%len(nodes)]

		s, text := call(http.MethodPut, n.controlURL()+"/-/config", document)
		l.note("PUT /-/config at %s: %d %.80q", n.name, s, text)

		if s == http.StatusOK {
			return true
		}

		time.Sleep(200 * time.Millisecond)
	}

	return false
}
