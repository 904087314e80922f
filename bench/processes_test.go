package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/bench/connection/labclient"
	"laburnumlock.dev/lab/bench/process/labload"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/request/laboperator"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	organisation = "rantavahti"
	password     = "secret"
	database     = "rota-core-1"
	sampleFile   = "../samples/rantavahti.json"
	zoneCount    = 3
)

var (
	zones   = []string{"hanko", "kotka", "oulu"}
	regions = []string{"gulf-coast", "gulf-coast", "bothnia"}
)

// processDeployment is a deployment whose proxies, control instances and stand-in servers run in separate processes.
type processDeployment struct {
	t                *testing.T
	folder           string
	programs         map[string]string // paths of the built programs by module
	ports            []int             // free ports: zoneCount ports for each kind of address (see address)
	controlProcesses []*process
	proxyProcesses   []*process
	standin          *process
	operator         *laboperator.Client
}

// process is a program that can be started and terminated repeatedly.
type process struct {
	t       *testing.T
	name    string
	command func() *exec.Cmd // creates the command that starts the process
	running *exec.Cmd        // nil while the process is not running
	output  bytes.Buffer
}

func (p *process) start() {
	p.t.Helper()

	p.running = p.command()
	p.running.Stdout, p.running.Stderr = &p.output, &p.output
	assert.NilError(p.t, p.running.Start(), p.name)
}

// terminate sends a signal to the process and waits until it has exited.
func (p *process) terminate(signal syscall.Signal) error {
	if p.running == nil {
		return nil
	}

	_ = p.running.Process.Signal(signal)
	err := p.running.Wait()
	p.running = nil

	return err
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.running.Process.Signal(signal), p.name)
}

// Ports of the processes. They are below the range from which the kernel gives ports to connections, which would otherwise take
// one before the process listens on it.
const (
	firstPort = 12000
	portRange = 16000
)

// freePorts returns distinct free loopback ports. The first one depends on the process, so that concurrent runs rarely try the
// same ones.
func freePorts(t *testing.T, count int) []int {
	t.Helper()

	var ports []int

	for p := os.Getpid() * 2 * count; len(ports) < count; p++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+p%portRange)

		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}

		defer func() { _ = l.Close() }()

		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}

		defer func() { _ = u.Close() }()

		ports = append(ports, firstPort+p%portRange)
	}

	return ports
}

func newProcessDeployment(t *testing.T) *processDeployment {
	t.Helper()

	d := &processDeployment{t: t, folder: t.TempDir(), programs: map[string]string{}}
	for _, m := range []string{"proxy", "control", "bench"} {
		d.programs[m] = filepath.Join(d.folder, "laburnumlock-"+m)
		out, err := exec.Command("go", "build", "-o", d.programs[m], "../"+m).CombinedOutput()
		assert.NilError(t, err, string(out))
	}

	d.ports = freePorts(t, 9*zoneCount)
	d.makeKeys()

	for i := range zoneCount {
		d.controlProcesses = append(d.controlProcesses, d.newProcess("control", i, d.controlSettings(i)))
		d.proxyProcesses = append(d.proxyProcesses, d.newProcess("proxy", i, d.proxySettings(i)))
	}

	d.standin = &process{t: t, name: "standin", command: func() *exec.Cmd {
		arguments := []string{"standin", "--deployment", sampleFile, "--database", database, "--password", "upstream"}
		for i := range zoneCount {
			arguments = append(arguments, "--announce", "http://"+d.address(6, i))
		}

		return exec.Command(d.programs["bench"], arguments...)
	}}
	t.Cleanup(d.stop)

	return d
}

// address returns a loopback address of the instance with the number. The kinds of addresses of a control instance are
// 0 (process), 1 (announce) and 2 (operator); those of a proxy are 3 (process), 4 (client) and 6 (announce).
func (d *processDeployment) address(kind, number int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.ports[kind*zoneCount+number])
}

func (d *processDeployment) makeKeys() {
	a := &labkeys.Authority{Folder: filepath.Join(d.folder, "keys")}
	assert.NilError(d.t, a.Init())
	assert.NilError(d.t, a.Issue("operator", labkeys.RoleOperator))

	for i := range zoneCount {
		assert.NilError(d.t, a.Issue(fmt.Sprintf("control-%d", i), labkeys.RoleInstance))
		assert.NilError(d.t, a.Issue(fmt.Sprintf("proxy-%d", i), labkeys.RoleInstance))
	}

	assert.NilError(d.t, os.WriteFile(filepath.Join(d.folder, "password"), []byte("upstream\n"), 0o600))
}

func (d *processDeployment) commonSettings(role string, number, process, announce, metrics int) labsettings.Common {
	return labsettings.Common{
		Instance: fmt.Sprintf("%s-%d", role, number), Region: regions[number], AvailabilityZone: zones[number],
		ProcessAddress: d.address(process, number), AnnounceAddress: d.address(announce, number),
		KeysFolder: filepath.Join(d.folder, "keys"), UpstreamUser: "laburnumlock",
		UpstreamPasswordFile: filepath.Join(d.folder, "password"), LogLevel: "info", MetricsAddress: d.address(metrics, number),
	}
}

func (d *processDeployment) controlSettings(number int) any {
	c := labsettings.Control{
		Common: d.commonSettings("control", number, 0, 1, 7), OperatorAddress: d.address(2, number),
		DataFolder: filepath.Join(d.folder, fmt.Sprintf("control-%d", number)), SnapshotEntries: 1000,
	}
	for i := range zoneCount {
		c.Peers = append(c.Peers, labsettings.Peer{
			Instance: fmt.Sprintf("control-%d", i), ProcessAddress: d.address(0, i), OperatorAddress: d.address(2, i),
		})
	}

	return c
}

func (d *processDeployment) proxySettings(number int) any {
	p := labsettings.Proxy{
		Common: d.commonSettings("proxy", number, 3, 6, 8), ClientAddress: d.address(4, number),
		DataFolder: filepath.Join(d.folder, fmt.Sprintf("proxy-%d", number)),
	}
	for i := range zoneCount {
		p.Control = append(p.Control, d.address(0, i))
	}

	return p
}

func (d *processDeployment) newProcess(role string, number int, settings any) *process {
	file := filepath.Join(d.folder, fmt.Sprintf("%s-%d.json", role, number))
	b, err := json.Marshal(settings)
	assert.NilError(d.t, err)
	assert.NilError(d.t, os.WriteFile(file, b, 0o600))

	return &process{t: d.t, name: fmt.Sprintf("%s-%d", role, number), command: func() *exec.Cmd {
		return exec.Command(d.programs[role], "--settings", file, "run")
	}}
}

func (d *processDeployment) processes() []*process {
	return append(append([]*process{d.standin}, d.controlProcesses...), d.proxyProcesses...)
}

func (d *processDeployment) start() {
	d.t.Helper()

	for _, p := range d.processes() {
		p.start()
	}

	d.operator = &laboperator.Client{
		Identity: &labkeys.Identity{Folder: filepath.Join(d.folder, "keys"), Name: "operator"}, Attempts: 50,
	}
	for i := range zoneCount {
		d.operator.Addresses = append(d.operator.Addresses, d.address(2, i))
	}

	d.configure()
}

func (d *processDeployment) configure() {
	d.t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	credential, err := labscram.NewCredential(password)
	assert.NilError(d.t, err)

	put := func(kind laboperator.Kind, name string, document any) {
		b, err := json.Marshal(document)
		assert.NilError(d.t, err)

		_, err = d.operator.Put(ctx, kind, name, laboperator.Change{ID: laboperator.NewChangeID(), Document: b})
		assert.NilError(d.t, err)
	}

	sample, err := labsettings.LoadDeployment(sampleFile)
	assert.NilError(d.t, err)
	put(laboperator.KindTemplate, "rota", map[string]any{"parameters": sample.Parameters})
	put(laboperator.KindOrganisation, organisation, map[string]any{
		"template": "rota", "databases": []string{database}, "credential": credential, "parameters": lab.Parameters{},
	})
}

// stop kills all running processes. It resumes each of them first, since faults may have suspended it.
func (d *processDeployment) stop() {
	for _, p := range d.processes() {
		if p.running != nil {
			_ = p.running.Process.Signal(syscall.SIGCONT)
			_ = p.terminate(syscall.SIGKILL)
		}

		if d.t.Failed() {
			d.t.Logf("%s:\n%s", p.name, tail(p.output.String()))
		}
	}
}

func tail(s string) string {
	return s[max(0, len(s)-3000):]
}

func (d *processDeployment) newLoad(seed uint64) *labload.Load {
	d.t.Helper()

	l := &labload.Load{
		Organisation: organisation, Password: password, Databases: []string{database}, Sessions: 12, Seed: seed,
		ReadRate: 100, WriteRate: 30, BoundedStalenessPct: 50, ReadClass: "rota_board", IdempotentPct: 30, MovePct: 5,
	}
	for i := range zoneCount {
		l.Addresses = append(l.Addresses, d.address(4, i))
	}

	deadline := time.Now().Add(20 * time.Second)

	for {
		c := &labclient.Client{
			Addresses: l.Addresses, Organisation: organisation, Password: password, Database: database,
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO ready (key, value) VALUES ('%d', 'x')", time.Now().UnixNano()))

		cancel()
		c.Close()

		if err == nil {
			break
		}

		assert.Assert(d.t, time.Now().Before(deadline), "%v", err)
		time.Sleep(100 * time.Millisecond)
	}

	assert.NilError(d.t, l.Prepare(context.Background()))
	d.t.Cleanup(l.Close)

	return l
}

// finalRows reads all rows of a table through a proxy. It reads in a read-write transaction, which runs on the primary.
func (d *processDeployment) finalRows(l *labload.Load, table string) []labhistory.FinalRow {
	d.t.Helper()

	c := &labclient.Client{Addresses: l.Addresses, Organisation: organisation, Password: password, Database: database}
	defer c.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	_, err := c.Exec(ctx, "BEGIN")
	assert.NilError(d.t, err)
	result, err := c.Exec(ctx, "SELECT key, value FROM "+table)
	assert.NilError(d.t, err)
	_, err = c.Exec(ctx, "COMMIT")
	assert.NilError(d.t, err)

	var rows []labhistory.FinalRow

	for _, r := range result.Rows {
		var n int64

		_, err := fmt.Sscanf(r[1][len(r[0]):], ":%d", &n)
		assert.NilError(d.t, err)

		rows = append(rows, labhistory.FinalRow{Database: database, Key: r[0], Sequence: n})
	}

	return rows
}

// Guards against code that works only if all instances share one process. Separate programs with settings files serve
// requests over loopback while control instances and proxies are killed and suspended, the stand-in servers are
// suspended and the primary is killed.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}

	d := newProcessDeployment(t)
	d.start()
	l := d.newLoad(1)

	faultsInjected := make(chan struct{})
	began := time.Now()

	go func() {
		defer close(faultsInjected)
		d.injectFaults(began)
	}()

	const duration = 22 * time.Second

	assert.NilError(t, l.Run(context.Background(), duration))
	<-faultsInjected

	h := l.History()
	final := append(d.finalRows(l, labload.Table), d.finalRows(l, labload.IdempotentTable)...)
	assert.Equal(t, labhistory.Check(h, final), labhistory.Violations{})

	c := labhistory.Count(h)
	t.Logf("%d writes, %d reads, %d not run, %d unknown", c.Acknowledged, c.Reads, c.NotRun, c.Unknown)
	assert.Assert(t, c.Acknowledged > 100 && c.Reads > 400)
	d.assertWritesAtEnd(h, duration)
	assert.Assert(t, labhistory.FailoverGap(h, database, primaryKillTime) < 10*time.Second)

	for _, p := range append(d.proxyProcesses, d.controlProcesses...) {
		assert.NilError(t, p.terminate(syscall.SIGTERM), p.name)
	}
}

const primaryKillTime = 15 * time.Second

// injectFaults kills and suspends processes at fixed times after began.
func (d *processDeployment) injectFaults(began time.Time) {
	waitUntil := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }

	waitUntil(time.Second)
	_ = d.controlProcesses[0].terminate(syscall.SIGKILL)
	waitUntil(3 * time.Second)
	d.controlProcesses[0].start()
	d.proxyProcesses[1].signal(syscall.SIGSTOP)
	waitUntil(8 * time.Second) // the lease of the suspended proxy has expired by then
	d.proxyProcesses[1].signal(syscall.SIGCONT)
	waitUntil(9 * time.Second)
	d.controlProcesses[1].signal(syscall.SIGSTOP)
	waitUntil(11 * time.Second)
	d.controlProcesses[1].signal(syscall.SIGCONT)
	_ = d.proxyProcesses[0].terminate(syscall.SIGKILL)
	waitUntil(12 * time.Second)
	d.standin.signal(syscall.SIGSTOP)
	waitUntil(12500 * time.Millisecond)
	d.standin.signal(syscall.SIGCONT)
	d.proxyProcesses[0].start()
	waitUntil(primaryKillTime)
	d.standin.signal(syscall.SIGUSR1)
}

// assertWritesAtEnd checks that writes sent in the last 2 s of the run were acknowledged.
func (d *processDeployment) assertWritesAtEnd(h []labhistory.Operation, duration time.Duration) {
	d.t.Helper()

	acknowledged := 0

	for _, o := range h {
		if o.IsWrite() && o.Result == labhistory.ResultDone && o.SentAt > duration-2*time.Second {
			acknowledged++
		}
	}

	assert.Assert(d.t, acknowledged > 10, "%d writes in the last 2 s", acknowledged)
}
