package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

// Ports of every machine, before the offset that keeps two scripts apart.
const (
	clientPort    = 8784
	readinessPort = 8785
	controlPort   = 8782
	internalPort  = 7440
	portStep      = 16
)

var zones = []string{"hanko", "oulu", "kotka"}

// deployment runs laburnumlock as a small deployment: a control instance and a proxy on each of three machines, each
// machine with a loopback address of its own.
type deployment struct {
	rec     *record
	program string
	folder  string
	offset  int
	cloud   string // address of the platform's API
	memory  int    // memoryMb of the settings

	mutex     sync.Mutex // guards processes
	processes map[string]*exec.Cmd
}

func newDeployment(rec *record, cloud string, memory int) (*deployment, error) {
	program, err := filepath.Abs("target/laburnumlock")
	if err != nil {
		return nil, err
	}

	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}

	folder, err := os.MkdirTemp("", "laburnumlock-review-")
	if err != nil {
		return nil, err
	}

	d := &deployment{rec: rec, program: program, folder: folder, cloud: cloud, memory: memory, processes: map[string]*exec.Cmd{}}

	return d, d.chooseOffset()
}

// chooseOffset finds an offset at which all ports of all machines are free.
func (d *deployment) chooseOffset() error {
	for d.offset = os.Getpid() % 500 * portStep; d.offset < 40000; d.offset += portStep {
		if d.portsFree() {
			return nil
		}
	}

	return fmt.Errorf("no free ports")
}

func (d *deployment) portsFree() bool {
	for n := range zones {
		for _, p := range []int{clientPort, readinessPort, controlPort, internalPort + 2, internalPort + 3} {
			l, err := net.Listen("tcp", d.address(n, p))
			if err != nil {
				return false
			}

			_ = l.Close()
		}

		for _, p := range []int{internalPort, internalPort + 1} {
			l, err := net.ListenPacket("udp", d.address(n, p))
			if err != nil {
				return false
			}

			_ = l.Close()
		}
	}

	return true
}

func machineIP(n int) string { return fmt.Sprintf("127.0.0.%d", n+2) }

func (d *deployment) address(n, port int) string {
	return net.JoinHostPort(machineIP(n), fmt.Sprint(port+d.offset))
}

func (d *deployment) controlAddresses() []string {
	var out []string
	for n := range zones {
		out = append(out, d.address(n, controlPort))
	}

	return out
}

// settings returns the settings file of a machine, with the bounds of the site rantavahti-rota.
func (d *deployment) settings(n int, role string, bootstrap bool) string {
	var seeds []string
	for _, a := range d.controlAddresses() {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}

	return fmt.Sprintf(`nodeName = "client_facing-%[1]s-1"
role = %[2]q
machineClass = "client_facing"
serves = ["client_facing","control"]
ip = %[3]q
zone = %[1]q
region = %[4]q
internalPortRange = [%[5]d,%[6]d]
seedNodes = [%[7]s]
bootstrap = %[8]t
inTolerance = true
dataDir = %[9]q
discovery = "registry"
entrypoint = "vip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
[zones]
hanko = "gulf-coast"
kotka = "gulf-coast"
oulu = "bothnia"
[bindAddrs]
frontend = %[10]q
readiness = %[11]q
controlPlane = %[12]q
[limits]
cpuQuota = 0.72
cpuCores = 1
memoryMb = %[14]d
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
address = %[13]q
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
`, zones[n], role, machineIP(n), regionOf(zones[n]), internalPort+d.offset, internalPort+d.offset+portStep-1,
		strings.Join(seeds, ","), bootstrap, filepath.Join(d.folder, fmt.Sprintf("data-%d-%s", n, role)),
		d.address(n, clientPort), d.address(n, readinessPort), d.address(n, controlPort), d.cloud, d.memory)
}

func regionOf(zone string) string {
	if zone == "oulu" {
		return "bothnia"
	}

	return "gulf-coast"
}

func processName(n int, role string) string { return fmt.Sprintf("%s-%s", zones[n], role) }

// start starts a program of the deploy file on a machine.
func (d *deployment) start(n int, role string, bootstrap bool) error {
	name := processName(n, role)
	file := filepath.Join(d.folder, name+".toml")

	if err := os.WriteFile(file, []byte(d.settings(n, role, bootstrap)), 0o600); err != nil {
		return err
	}

	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer func() { _ = log.Close() }()

	c := exec.Command(d.program, role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LABURNUMLOCK_NODE_FILE=" + file}
	c.Stdout, c.Stderr = log, log
	// If the script itself is killed, its processes end with it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}

	d.mutex.Lock()
	d.processes[name] = c
	d.mutex.Unlock()

	d.rec.add("process %s started, pid %d", name, c.Process.Pid)

	return nil
}

func (d *deployment) startAll() error {
	for n := range zones {
		for _, role := range []string{"control", "proxy"} {
			if err := d.start(n, role, true); err != nil {
				return err
			}
		}
	}

	return nil
}

func (d *deployment) process(name string) *exec.Cmd {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.processes[name]
}

// stop kills all processes that start has started and removes the folder.
func (d *deployment) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for _, c := range d.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}

	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs kept in", d.folder)

		return
	}

	_ = os.RemoveAll(d.folder)
}

func request(method, address, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}

	r.Header.Set("Content-Type", "application/json")

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}

	defer func() { _ = response.Body.Close() }()

	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}

	return response.StatusCode, string(b)
}

// eventually polls a condition until it is true, for at most the given time.
func eventually(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
	}

	return false
}

// configure sends a configuration with one route of each kind for the service, as an operator does, until it is
// acknowledged.
func (d *deployment) configure(version int, service string) error {
	body := fmt.Appendf(nil, `{"version":%[1]d,"routes":[`+
		`{"name":"r-1","host":"flags","pathPrefix":"/","kind":"primary","timeoutMs":800,"targetLatencyMs":400,"priority":1,"service":%[2]q,"maxAttempts":2},`+
		`{"name":"r-2","host":"duty","pathPrefix":"/","kind":"read_your_writes","timeoutMs":800,"targetLatencyMs":800,"priority":2,"service":%[2]q,"maxAttempts":2,"maxStalenessMs":2500}],`+
		`"services":[{"name":%[2]q,"healthPath":"/healthz","maxConns":24,"protocol":"h1","tls":false,"syncReplicas":1}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}`,
		version, service)

	if !eventually(15*time.Second, func() bool {
		for _, a := range d.controlAddresses() {
			if status, _ := request(http.MethodPut, a, "/-/config", body); status == http.StatusOK {
				return true
			}
		}

		return false
	}) {
		return fmt.Errorf("configuration %d was not acknowledged", version)
	}

	d.rec.note("configuration %d acknowledged", version)

	return nil
}

func (d *deployment) awaitReady() error {
	for n := range zones {
		if !eventually(15*time.Second, func() bool {
			status, _ := request(http.MethodGet, d.address(n, readinessPort), "/-/readyz", nil)

			return status == http.StatusOK
		}) {
			return fmt.Errorf("proxy on machine %s is not ready", zones[n])
		}
	}

	d.rec.note("all proxies are ready")

	return nil
}
