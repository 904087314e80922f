package labslope

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/process/labbudget"
	"laburnumlock.dev/lab/proxy/process/labfront"
	"laburnumlock.dev/lab/proxy/version/lablocalcatalog"
)

// ClientCommand is the hidden command that opens the client connections of the measurement "callers".
const ClientCommand = "slope-callers"

const (
	organisationName = "rantavahti"
	sessionDatabase  = "rota-core-1"
	sessionPassword  = "secret"
	settleTime       = time.Second // time after which no buffer of the last login is referenced
)

// noGateway rejects every transaction. The measured clients are idle and begin none.
type noGateway struct{}

func (noGateway) Begin(context.Context, lab.TransactionHeader) (lab.Transaction, error) {
	return nil, lab.NotRunError(lab.ReasonRejected, errors.New("the measurement has no gateway"))
}

func newClientListener() (*labfront.Listener, error) {
	credential, err := labscram.NewCredential(sessionPassword)
	if err != nil {
		return nil, errors.Newf("create credential of the organisation: %w", err)
	}

	localCatalog := lablocalcatalog.New()

	err = localCatalog.Apply(lab.CatalogDelta{
		Index: 1, Version: 1,
		Organisations: []lab.Organisation{{Name: organisationName, Databases: []string{sessionDatabase}, Credential: credential}},
		Databases:     []lab.Database{{Name: sessionDatabase, History: lab.TermHistory{{Term: 1}}}},
	})
	if err != nil {
		return nil, errors.Newf("fill local catalog: %w", err)
	}

	clock := labclock.New()

	return &labfront.Listener{
		ListenAddress: "127.0.0.1:0", Log: zerolog.Nop(), StartupDeadline: time.Minute, EventLoops: 2,
		Server: &labsession.Server{
			Gateway: noGateway{}, Catalog: localCatalog, Clock: clock, Random: labrandom.Secure{},
			TokenCodec:  &labtoken.Codec{Keys: [][]byte{[]byte("measurement key")}},
			RetryBudget: &labbudget.RetryBudget{Clock: clock}, Keys: &labsession.CancelKeys{Proxy: 1},
			DecoySecret: []byte("secret"), Log: zerolog.Nop(),
		},
	}, nil
}

func measureConnections(ctx context.Context, points []int, r *Report) error {
	listener, err := newClientListener()
	if err != nil {
		return err
	}

	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)

	go func() { done <- listener.Run(ctx) }()

	for listener.BoundAddress() == "" {
		select {
		case err := <-done:
			cancel()

			return errors.Newf("run client listener: %w", err)
		case <-time.After(time.Millisecond):
		}
	}

	err = runClientProcess(ctx, listener, points, r)

	cancel()

	return errors.CombineErrors(err, <-done)
}

// runClientProcess starts this program a second time to open the client connections, so that the memory of the clients
// is not measured. Only the bench starts other processes; proxies and control instances never do.
func runClientProcess(ctx context.Context, listener *labfront.Listener, points []int, r *Report) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Newf("find path of this program: %w", err)
	}

	c := exec.CommandContext(ctx, program, ClientCommand, "--address", listener.BoundAddress())
	c.Stderr = os.Stderr

	in, err := c.StdinPipe()
	if err != nil {
		return errors.Newf("open input pipe of client process: %w", err)
	}

	out, err := c.StdoutPipe()
	if err != nil {
		return errors.Newf("open output pipe of client process: %w", err)
	}

	if err := c.Start(); err != nil {
		return errors.Newf("start client process: %w", err)
	}

	err = sampleConnections(listener, points, r, in, bufio.NewReader(out))

	return errors.CombineErrors(err, errors.CombineErrors(in.Close(), c.Wait()))
}

func sampleConnections(listener *labfront.Listener, points []int, r *Report, in io.Writer, out *bufio.Reader) error {
	r.Unit = "connections"
	r.Columns = []string{"heap B", "stacks B", "RSS B", "RSS B after return", "goroutines"}
	r.addNote("RSS after return: measured after idle heap memory was returned to the operating system. Kernel socket buffers are not included.")

	if err := sampleMemory(0, r); err != nil {
		return err
	}

	for _, n := range points {
		if _, err := fmt.Fprintln(in, n); err != nil {
			return errors.Newf("request %d connections from client process: %w", n, err)
		}

		if l, err := out.ReadString('\n'); err != nil || strings.TrimSpace(l) != fmt.Sprint(n) {
			return errors.Newf("client process did not open %d connections: response %q, error %v", n, l, err)
		}

		time.Sleep(settleTime)

		if open := listener.Counters.Open.Value(); open != int64(n) {
			return errors.Newf("%d connections are open instead of %d", open, n)
		}

		if err := sampleMemory(n, r); err != nil {
			return err
		}
	}

	return nil
}

func sampleMemory(size int, r *Report) error {
	runtime.GC()
	runtime.GC() // the second run frees objects that finalizers and pools held during the first

	var m runtime.MemStats

	runtime.ReadMemStats(&m)

	used, err := residentBytes()
	if err != nil {
		return err
	}

	debug.FreeOSMemory()

	returned, err := residentBytes()
	if err != nil {
		return err
	}

	r.addPoint(size, float64(m.HeapAlloc), float64(m.StackInuse), used, returned, float64(runtime.NumGoroutine()))

	return nil
}
