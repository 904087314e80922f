package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine of the deployment, which has an address of its own.
const (
	internalPorts = 7440
	controlPort   = 8782
	frontendPort  = 8784
	readinessPort = 8785
	machineCount  = 3
	program       = "target/laburnumlock" // with a role, the commands of deploy/system.toml
	startTimeout  = 30 * time.Second
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
	lines []string // what members have run
}

func (r *record) add(kind, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if kind == "run" {
		r.lines = append(r.lines, fmt.Sprintf(format, arguments...))
	}

	fmt.Fprintf(r.file, "%9.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, arguments...))
}

// count returns how many runs of members contain a text.
func (r *record) count(text string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	n := 0

	for _, l := range r.lines {
		if strings.Contains(l, text) {
			n++
		}
	}

	return n
}

// process is a program of the project that the deployment has started.
type process struct {
	machine int
	role    string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// deployment is a small deployment of the platform: three machines with a disk, each with both roles.
type deployment struct {
	record   *record
	folder   string
	network  string // first three bytes of the machines' addresses
	cloud    string
	memoryMB int
	ended    chan struct{}
	// acknowledged is the configuration that was acknowledged last.
	acknowledged string

	mutex     sync.Mutex
	processes []*process
	// memoryEnds counts by machine the ends of proxies that used more memory than their machine has.
	memoryEnds map[int]int
}

func startDeployment(r *record, memoryMB int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}

	d := &deployment{record: r, folder: folder, memoryMB: memoryMB, ended: make(chan struct{})}

	if err := d.chooseNetwork(); err != nil {
		return d, err
	}

	l, err := net.Listen("tcp", d.network+".100:0")
	if err != nil {
		return d, err
	}

	d.cloud = l.Addr().String()

	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			r.add("platform", "%s %s", q.Method, q.URL.Path)
			w.WriteHeader(http.StatusConflict)
		}))
	}()

	for i := 1; i <= machineCount; i++ {
		for _, role := range []string{"control", "proxy"} {
			if err := d.start(i, role, true); err != nil {
				return d, err
			}
		}
	}

	return d, nil
}

// startServing starts a deployment with services of three members each, and waits until it serves. The database of a service
// has its name with "db-" before it.
func startServing(r *record, kind string, timeout time.Duration, services ...*service) (*deployment, error) {
	d, err := startDeployment(r, 284)
	if err != nil {
		return d, err
	}

	for _, s := range services {
		if err := s.listen(zones[:machineCount], d.network+".50:0"); err != nil {
			return d, err
		}

		for _, m := range s.members {
			go m.checkIn(d)
		}
	}

	if err := d.configure(configuration(7, kind, timeout, services)); err != nil {
		return d, err
	}

	if err := d.awaitReady(); err != nil {
		return d, err
	}

	time.Sleep(2 * time.Second)

	return d, nil
}

// stopProxy sends SIGTERM to the proxy of a machine and returns the time.
func (d *deployment) stopProxy(machine int) (time.Time, error) {
	d.record.add("stop", "SIGTERM to the proxy of machine %d", machine)

	return time.Now(), d.process(machine, "proxy").command.Process.Signal(syscall.SIGTERM)
}

// chooseNetwork finds loopback addresses at which all ports are free.
func (d *deployment) chooseNetwork() error {
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if d.portsFree() {
			return nil
		}
	}

	return errors.New("no free loopback addresses")
}

func (d *deployment) portsFree() bool {
	for i := 1; i <= len(zones); i++ {
		for _, port := range []int{internalPorts, internalPorts + 1, internalPorts + 2, internalPorts + 3, controlPort, frontendPort, readinessPort} {
			l, err := net.Listen("tcp", d.address(i, port))
			if err != nil {
				return false
			}

			l.Close()
		}
	}

	return true
}

func (d *deployment) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, machine, port)
}

func (d *deployment) controls() []string {
	var out []string
	for i := 1; i <= machineCount; i++ {
		out = append(out, d.address(i, controlPort))
	}

	return out
}

// zones are those of the machines; the fourth machine replaces the third.
var zones = []string{"rajkot", "jamnagar", "vadodara", "vadodara"}

// settings returns the settings file of a machine, with the fields that DEPLOY.md lists.
func (d *deployment) settings(machine int, role string, first bool) string {
	ip := fmt.Sprintf("%s.%d", d.network, machine)
	bind := fmt.Sprintf("controlPlane = %q\n", d.address(machine, controlPort))
	serves := "control"

	if role == "proxy" {
		bind = fmt.Sprintf("frontend = %q\nreadiness = %q\n", d.address(machine, frontendPort), d.address(machine, readinessPort))
		serves = "client_facing"
	}

	return fmt.Sprintf(`nodeName = "client_facing-%s-%d"
role = %q
machineClass = "client_facing"
serves = [%q]
ip = %q
zone = %q
region = "gujarat-west"
internalPortRange = [%d,%d]
seedNodes = [%q,%q,%q]
bootstrap = %t
inTolerance = true
dataDir = %q
discovery = "registry"
entrypoint = "vip"
heartbeatMs = 1200
config_mode = "highest"
[zones]
rajkot = "gujarat-west"
jamnagar = "gujarat-west"
vadodara = "gujarat-west"
[bindAddrs]
%s[limits]
cpuQuota = 0.72
cpuCores = 1
memoryMb = %d
maxFds = 4200
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machineLosses = 1
zones = 0
regionLosses = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
partitionSlackMs = 15000
recoveryS = 12
fencingEnforced = true
thawMs = 300
[cloudApi]
address = %q
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
`, zones[machine-1], 1+machine/4, role, serves, ip, zones[machine-1], internalPorts, internalPorts+15,
		d.address(1, controlPort), d.address(2, controlPort), d.address(3, controlPort), first,
		filepath.Join(d.folder, fmt.Sprintf("data-%d", machine), role), bind, d.memoryMB, d.cloud)
}

// start starts one process of a machine, with the command of the deploy file.
func (d *deployment) start(machine int, role string, first bool) error {
	name := filepath.Join(d.folder, fmt.Sprintf("%s-%d", role, machine))
	if err := os.MkdirAll(filepath.Join(d.folder, fmt.Sprintf("data-%d", machine), role), 0o700); err != nil {
		return err
	}

	if err := os.WriteFile(name+".toml", []byte(d.settings(machine, role, first)), 0o600); err != nil {
		return err
	}

	log, err := os.OpenFile(name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	c := exec.Command(program, role)
	c.Env = []string{"LABURNUMLOCK_NODE_FILE=" + name + ".toml"}

	for _, v := range []string{"PATH", "HOME", "LANG"} {
		c.Env = append(c.Env, v+"="+os.Getenv(v))
	}

	c.Stdout, c.Stderr = log, log

	if err := c.Start(); err != nil {
		return err
	}

	p := &process{machine: machine, role: role, command: c, done: make(chan struct{})}

	go func() {
		p.err = c.Wait()
		d.record.add("ended", "%s on machine %d, pid %d: %v", role, machine, c.Process.Pid, p.err)
		close(p.done)
		log.Close()
	}()

	d.record.add("started", "%s on machine %d, pid %d", role, machine, c.Process.Pid)

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.processes = append(d.processes, p)

	return nil
}

// process returns the newest process of a role on a machine.
func (d *deployment) process(machine int, role string) *process {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for i := len(d.processes) - 1; i >= 0; i-- {
		if p := d.processes[i]; p.machine == machine && p.role == role {
			return p
		}
	}

	return nil
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	close(d.ended)
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for _, p := range d.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}

	for _, p := range d.processes {
		<-p.done
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(configuration map[string]any) error {
	b, err := json.Marshal(configuration)
	if err != nil {
		return err
	}

	client := &http.Client{Timeout: time.Second}

	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range d.controls() {
			r, err := http.NewRequest(http.MethodPut, "http://"+a+"/-/config", bytes.NewReader(b))
			if err != nil {
				return err
			}

			response, err := client.Do(r)
			if err != nil {
				continue
			}

			response.Body.Close()
			d.record.add("config", "version %v sent to %s: %d", configuration["version"], a, response.StatusCode)

			if response.StatusCode == http.StatusOK {
				d.acknowledged = string(b)

				return nil
			}
		}
	}

	return errors.New("the configuration is not acknowledged")
}

// awaitReady waits until all proxies say that they are ready.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}

	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0

		for i := 1; i <= machineCount; i++ {
			response, err := client.Get("http://" + d.address(i, readinessPort) + "/-/readyz")
			if err != nil {
				continue
			}

			response.Body.Close()

			if response.StatusCode == http.StatusOK {
				ready++
			}
		}

		if ready == machineCount {
			return nil
		}
	}

	return errors.New("the proxies are not ready")
}

// configuration returns a configuration with a route to each service.
func configuration(version int, kind string, timeout time.Duration, all []*service) map[string]any {
	var routes, services []map[string]any

	for _, s := range all {
		routes = append(routes, map[string]any{
			"name": "r-" + s.name, "host": "db-" + s.name, "pathPrefix": "/", "kind": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 600, "priority": 1, "service": s.name, "maxAttempts": 2, "maxStalenessMs": 1500,
		})
		services = append(services, map[string]any{
			"name": s.name, "healthPath": "/healthz", "maxConns": s.maxConn, "protocol": "h1", "tls": false, "syncReplicas": 1,
		})
	}

	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000,
		},
	}
}
