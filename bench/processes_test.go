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
	ports            []int
	controlProcesses []*process
	proxyProcesses   []*process
	standin          *process
	operator         *laboperator.Client
}

// process is a program that can be started and terminated repeatedly.
type process struct {
	t       *testing.T
	name    string
	command func() *exec.Cmd
	running *exec.Cmd
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

// freePorts returns distinct free loopback ports. It releases them on return, for the processes to listen on.
func freePorts(t *testing.T, count int) []int {
	t.Helper()

	var ports []int

	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })

		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}

	return ports
}

func newProcessDeployment(t *testing.T) *processDeployment {
	t.Helper()

	s := &processDeployment{t: t, folder: t.TempDir(), programs: map[string]string{}}
	for _, m := range []string{"proxy", "control", "bench"} {
		s.programs[m] = filepath.Join(s.folder, "laburnumlock-"+m)
		out, err := exec.Command("go", "build", "-o", s.programs[m], "../"+m).CombinedOutput()
		assert.NilError(t, err, string(out))
	}

	s.ports = freePorts(t, 7*zoneCount)
	s.makeKeys()

	for i := range zoneCount {
		s.controlProcesses = append(s.controlProcesses, s.newProcess("control", i, s.controlSettings(i)))
		s.proxyProcesses = append(s.proxyProcesses, s.newProcess("proxy", i, s.proxySettings(i)))
	}

	s.standin = &process{t: t, name: "standin", command: func() *exec.Cmd {
		arguments := []string{"standin", "--deployment", sampleFile, "--database", database, "--password", "upstream"}
		for i := range zoneCount {
			arguments = append(arguments, "--announce", "http://"+s.address(6, i))
		}

		return exec.Command(s.programs["bench"], arguments...)
	}}
	t.Cleanup(s.stop)

	return s
}

// address returns the loopback address of a port in the zone with the number. The kinds of ports are 0 for the control
// instance's process port, 1 for its announce port and 2 for its operator port; 3 for the proxy's process port, 4 for
// its client port and 6 for its announce port.
func (s *processDeployment) address(kind, number int) string {
	return fmt.Sprintf("127.0.0.1:%d", s.ports[kind*zoneCount+number])
}

func (s *processDeployment) makeKeys() {
	a := &labkeys.Authority{Folder: filepath.Join(s.folder, "keys")}
	assert.NilError(s.t, a.Init())
	assert.NilError(s.t, a.Issue("operator", labkeys.RoleOperator))

	for i := range zoneCount {
		assert.NilError(s.t, a.Issue(fmt.Sprintf("control-%d", i), labkeys.RoleInstance))
		assert.NilError(s.t, a.Issue(fmt.Sprintf("proxy-%d", i), labkeys.RoleInstance))
	}

	assert.NilError(s.t, os.WriteFile(filepath.Join(s.folder, "password"), []byte("upstream\n"), 0o600))
}

func (s *processDeployment) commonSettings(role string, number, process, announce int) labsettings.Common {
	return labsettings.Common{
		Instance: fmt.Sprintf("%s-%d", role, number), Region: regions[number], AvailabilityZone: zones[number],
		ProcessAddress: s.address(process, number), AnnounceAddress: s.address(announce, number),
		KeysFolder: filepath.Join(s.folder, "keys"), UpstreamUser: "laburnumlock",
		UpstreamPasswordFile: filepath.Join(s.folder, "password"), LogLevel: "info", MetricsAddress: "127.0.0.1:0",
	}
}

func (s *processDeployment) controlSettings(number int) any {
	c := labsettings.Control{
		Common: s.commonSettings("control", number, 0, 1), OperatorAddress: s.address(2, number),
		DataFolder: filepath.Join(s.folder, fmt.Sprintf("control-%d", number)), SnapshotEntries: 1000,
	}
	for i := range zoneCount {
		c.Peers = append(c.Peers, labsettings.Peer{
			Instance: fmt.Sprintf("control-%d", i), ProcessAddress: s.address(0, i), OperatorAddress: s.address(2, i),
		})
	}

	return c
}

func (s *processDeployment) proxySettings(number int) any {
	p := labsettings.Proxy{
		Common: s.commonSettings("proxy", number, 3, 6), ClientAddress: s.address(4, number),
		DataFolder: filepath.Join(s.folder, fmt.Sprintf("proxy-%d", number)),
	}
	for i := range zoneCount {
		p.Control = append(p.Control, s.address(0, i))
	}

	return p
}

func (s *processDeployment) newProcess(role string, number int, settings any) *process {
	file := filepath.Join(s.folder, fmt.Sprintf("%s-%d.json", role, number))
	b, err := json.Marshal(settings)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.WriteFile(file, b, 0o600))

	return &process{t: s.t, name: fmt.Sprintf("%s-%d", role, number), command: func() *exec.Cmd {
		return exec.Command(s.programs[role], "--settings", file, "run")
	}}
}

func (s *processDeployment) processes() []*process {
	return append(append([]*process{s.standin}, s.controlProcesses...), s.proxyProcesses...)
}

func (s *processDeployment) start() {
	s.t.Helper()

	for _, p := range s.processes() {
		p.start()
	}

	s.operator = &laboperator.Client{
		Identity: &labkeys.Identity{Folder: filepath.Join(s.folder, "keys"), Name: "operator"}, Attempts: 50,
	}
	for i := range zoneCount {
		s.operator.Addresses = append(s.operator.Addresses, s.address(2, i))
	}

	s.configure()
}

func (s *processDeployment) configure() {
	s.t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	credential, err := labscram.NewCredential(password)
	assert.NilError(s.t, err)

	put := func(kind laboperator.Kind, name string, document any) {
		b, err := json.Marshal(document)
		assert.NilError(s.t, err)

		_, err = s.operator.Put(ctx, kind, name, laboperator.Change{ID: laboperator.NewChangeID(), Document: b})
		assert.NilError(s.t, err)
	}

	sample, err := labsettings.LoadDeployment(sampleFile)
	assert.NilError(s.t, err)
	put(laboperator.KindTemplate, "rota", map[string]any{"parameters": sample.Parameters})
	put(laboperator.KindOrganisation, organisation, map[string]any{
		"template": "rota", "databases": []string{database}, "credential": credential, "parameters": lab.Parameters{},
	})
}

// stop kills all running processes. It resumes each of them first, since faults may have suspended it.
func (s *processDeployment) stop() {
	for _, p := range s.processes() {
		if p.running != nil {
			_ = p.running.Process.Signal(syscall.SIGCONT)
			_ = p.terminate(syscall.SIGKILL)
		}

		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, tail(p.output.String()))
		}
	}
}

func tail(s string) string {
	return s[max(0, len(s)-3000):]
}

func (s *processDeployment) newLoad(seed uint64) *labload.Load {
	s.t.Helper()

	l := &labload.Load{
		Organisation: organisation, Password: password, Databases: []string{database}, Sessions: 12, Seed: seed,
		ReadRate: 100, WriteRate: 30, BoundedStalenessPct: 50, ReadClass: "rota_board", IdempotentPct: 30, MovePct: 5,
	}
	for i := range zoneCount {
		l.Addresses = append(l.Addresses, s.address(4, i))
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

		assert.Assert(s.t, time.Now().Before(deadline), "%v", err)
		time.Sleep(100 * time.Millisecond)
	}

	assert.NilError(s.t, l.Prepare(context.Background()))
	s.t.Cleanup(l.Close)

	return l
}

// finalRows reads all rows of a table through a proxy. It reads in a read-write transaction, which runs on the primary.
func (s *processDeployment) finalRows(l *labload.Load, table string) []labhistory.FinalRow {
	s.t.Helper()

	c := &labclient.Client{Addresses: l.Addresses, Organisation: organisation, Password: password, Database: database}
	defer c.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	_, err := c.Exec(ctx, "BEGIN")
	assert.NilError(s.t, err)
	result, err := c.Exec(ctx, "SELECT key, value FROM "+table)
	assert.NilError(s.t, err)
	_, err = c.Exec(ctx, "COMMIT")
	assert.NilError(s.t, err)

	var rows []labhistory.FinalRow

	for _, r := range result.Rows {
		var n int64

		_, err := fmt.Sscanf(r[1][len(r[0]):], ":%d", &n)
		assert.NilError(s.t, err)

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

	s := newProcessDeployment(t)
	s.start()
	l := s.newLoad(1)

	faultsInjected := make(chan struct{})
	began := time.Now()

	go func() {
		defer close(faultsInjected)
		s.injectFaults(began)
	}()

	const duration = 22 * time.Second

	assert.NilError(t, l.Run(context.Background(), duration))
	<-faultsInjected

	h := l.History()
	final := append(s.finalRows(l, labload.Table), s.finalRows(l, labload.IdempotentTable)...)
	assert.Equal(t, labhistory.Check(h, final), labhistory.Violations{})

	c := labhistory.Count(h)
	t.Logf("%d writes, %d reads, %d not run, %d unknown", c.Acknowledged, c.Reads, c.NotRun, c.Unknown)
	assert.Assert(t, c.Acknowledged > 100 && c.Reads > 400)
	s.assertWritesAtEnd(h, duration)
	assert.Assert(t, labhistory.FailoverGap(h, database, primaryKillTime) < 10*time.Second)

	for _, p := range append(s.proxyProcesses, s.controlProcesses...) {
		assert.NilError(t, p.terminate(syscall.SIGTERM), p.name)
	}
}

const primaryKillTime = 15 * time.Second

// injectFaults kills and suspends processes at fixed times after began.
func (s *processDeployment) injectFaults(began time.Time) {
	waitUntil := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }

	waitUntil(time.Second)
	_ = s.controlProcesses[0].terminate(syscall.SIGKILL)
	waitUntil(3 * time.Second)
	s.controlProcesses[0].start()
	s.proxyProcesses[1].signal(syscall.SIGSTOP)
	waitUntil(8 * time.Second) // after its lease has expired
	s.proxyProcesses[1].signal(syscall.SIGCONT)
	waitUntil(9 * time.Second)
	s.controlProcesses[1].signal(syscall.SIGSTOP)
	waitUntil(11 * time.Second)
	s.controlProcesses[1].signal(syscall.SIGCONT)
	_ = s.proxyProcesses[0].terminate(syscall.SIGKILL)
	waitUntil(12 * time.Second)
	s.standin.signal(syscall.SIGSTOP)
	waitUntil(12500 * time.Millisecond)
	s.standin.signal(syscall.SIGCONT)
	s.proxyProcesses[0].start()
	waitUntil(primaryKillTime)
	s.standin.signal(syscall.SIGUSR1)
}

// assertWritesAtEnd checks that writes sent in the last 2 s of the run were acknowledged.
func (s *processDeployment) assertWritesAtEnd(h []labhistory.Operation, duration time.Duration) {
	s.t.Helper()

	acknowledged := 0

	for _, o := range h {
		if o.IsWrite() && o.Result == labhistory.ResultDone && o.SentAt > duration-2*time.Second {
			acknowledged++
		}
	}

	assert.Assert(s.t, acknowledged > 10, "%d writes in the last 2 s", acknowledged)
}
