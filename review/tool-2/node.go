package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one machine of the deployment: its settings file, its data folder and its processes.
type node struct {
	name, ip, zone, region string
	control                bool
	seeds                  []string
	bootstrap              bool

	lab   *lab
	mutex sync.Mutex
	procs map[string]*process
}

// process is a running program of a node. It is started again when it ends, unless the test has ended it.
type process struct {
	command *exec.Cmd
	wanted  bool
	done    chan struct{}
}

func (n *node) dir() string      { return filepath.Join(n.lab.temp, n.name) }
func (n *node) dataDir() string  { return filepath.Join(n.dir(), "data") }
func (n *node) settings() string { return filepath.Join(n.dir(), "node.toml") }

func (n *node) controlURL() string { return fmt.Sprintf("http://%s:%d", n.ip, n.lab.controlPort) }
func (n *node) frontend() string   { return fmt.Sprintf("%s:%d", n.ip, n.lab.frontendPort) }

// writeSettings writes the settings file, with the fields of the users' pages.
func (n *node) writeSettings() error {
	l := n.lab
	serves, dataDir, disk := `["client_facing"]`, "", 0

	if n.control {
		serves, dataDir, disk = `["client_facing","control"]`, n.dataDir(), 64
	}

	quoted := make([]string, len(n.seeds))
	for i, s := range n.seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}

	text := fmt.Sprintf(`nodeName = %q
role = "my-client_facing"
machineClass = "client_facing"
serves = %s
ip = %q
zone = %q
region = %q
internalPortRange = [%d,%d]
seedNodes = [%s]
bootstrap = %t
inTolerance = %t
dataDir = %q
discovery = "registry"
entrypoint = "vip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
[zones]
rajkot = "gujarat-west"
vadodara = "gujarat-east"
jamnagar = "gujarat-west"
[bindAddrs]
frontend = "%s:%d"
readiness = "%s:%d"
controlPlane = "%s:%d"
[limits]
cpuQuota = 0.72
cpuCores = 1
memoryMb = %d
maxFds = 4200
linkMbps = 1000.0
diskMb = %d
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
`, n.name, serves, n.ip, n.zone, n.region, l.internalPort, l.internalPort+15, strings.Join(quoted, ","), n.bootstrap,
		n.control, dataDir, n.ip, l.frontendPort, n.ip, l.readinessPort, n.ip, l.controlPort, l.memoryMB, disk, l.platform)

	if err := os.MkdirAll(n.dir(), 0o700); err != nil {
		return err
	}

	if n.control {
		if err := os.MkdirAll(n.dataDir(), 0o700); err != nil {
			return err
		}
	}

	next := n.settings() + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}

	return os.Rename(next, n.settings())
}

// start starts a role, as the deploy file does.
func (n *node) start(role string) error {
	if err := n.writeSettings(); err != nil {
		return err
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	log, err := os.OpenFile(filepath.Join(n.dir(), role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()

	c := exec.Command("target/laburnumlock", role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir(), "LABURNUMLOCK_NODE_FILE=" + n.settings()}
	c.Stdout, c.Stderr = log, log

	if err := c.Start(); err != nil {
		return err
	}

	p := &process{command: c, wanted: true, done: make(chan struct{})}
	n.procs[role] = p
	n.lab.note("start %s %s pid %d", n.name, role, c.Process.Pid)

	go n.await(role, p)

	return nil
}

// await waits for the end of a process. The platform starts a process again that ends by itself.
func (n *node) await(role string, p *process) {
	err := p.command.Wait()

	close(p.done)

	n.mutex.Lock()
	wanted := p.wanted && n.procs[role] == p
	n.mutex.Unlock()

	if !wanted || n.lab.ended() {
		return
	}

	n.lab.note("end by itself %s %s: %v", n.name, role, err)
	time.Sleep(200 * time.Millisecond)

	if err := n.start(role); err != nil {
		n.lab.note("not started again %s %s: %v", n.name, role, err)
	}
}

func (n *node) signal(role string, s syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if p := n.procs[role]; p != nil {
		_ = p.command.Process.Signal(s)
	}
}

// stop ends a role with a signal and waits until it has ended.
func (n *node) stop(role string, s syscall.Signal, limit time.Duration) {
	n.mutex.Lock()
	p := n.procs[role]

	if p != nil {
		p.wanted = false
	}
	n.mutex.Unlock()

	if p == nil {
		return
	}

	n.lab.note("%s to %s %s", s, n.name, role)
	_ = p.command.Process.Signal(s)

	select {
	case <-p.done:
	case <-time.After(limit):
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// loseDisk removes everything in the data folder. The roles must have been stopped.
func (n *node) loseDisk() {
	n.lab.note("disk of %s is lost", n.name)
	_ = os.RemoveAll(n.dataDir())
}

// logged reports whether the log of a role has a line with all the words.
func (n *node) logged(role string, words ...string) bool {
	b, err := os.ReadFile(filepath.Join(n.dir(), role+".log"))
	if err != nil {
		return false
	}

	for line := range strings.Lines(string(b)) {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}

		if all {
			return true
		}
	}

	return false
}
