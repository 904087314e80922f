package labforward

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
)

// fakeGateway calls run for each batch, unless run is nil, and records the messages of the batches.
type fakeGateway struct {
	refuse func(lab.TransactionHeader) error
	run    func(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error)

	mu        sync.Mutex
	headers   []lab.TransactionHeader
	ran       []string
	cancelled int
	closed    int
}

func (g *fakeGateway) Begin(_ context.Context, header lab.TransactionHeader) (lab.Transaction, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headers = append(g.headers, header)

	if g.refuse != nil {
		if err := g.refuse(header); err != nil {
			return nil, err
		}
	}

	return &fakeTransaction{gateway: g}, nil
}

func (g *fakeGateway) counts() (ran, closed, cancelled int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.ran), g.closed, g.cancelled
}

type fakeTransaction struct{ gateway *fakeGateway }

func (t *fakeTransaction) Run(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	g := t.gateway
	g.mu.Lock()
	g.ran = append(g.ran, string(batch.Messages))
	g.mu.Unlock()

	if g.run != nil {
		return g.run(ctx, batch, response)
	}

	if _, err := response.Write(append([]byte("response to "), batch.Messages...)); err != nil {
		return lab.BatchResult{}, err
	}

	return lab.BatchResult{Status: 'I', Member: "a"}, nil
}

func (t *fakeTransaction) Cancel() {
	t.gateway.mu.Lock()
	defer t.gateway.mu.Unlock()
	t.gateway.cancelled++
}

func (t *fakeTransaction) Close() {
	t.gateway.mu.Lock()
	defer t.gateway.mu.Unlock()
	t.gateway.closed++
}

// tcpStream is a lab.Stream over a loopback connection.
type tcpStream struct{ *net.TCPConn }

func (s tcpStream) Cancel() {
	_ = s.SetLinger(0)
	_ = s.Close()
}

// fakePeers connects forwarders by address. If intercept is set, it is called first with each stream. When it returns
// true, the forwarder does not serve the stream.
type fakePeers struct {
	t         *testing.T
	servers   map[string]*Forwarder
	intercept func(stream lab.Stream) (handled bool)
}

func (p *fakePeers) Call(context.Context, string, lab.Method, any, any) error {
	return errors.New("no calls")
}

func (p *fakePeers) Open(ctx context.Context, address string, _ lab.Method, header any) (lab.Stream, error) {
	server, found := p.servers[address]
	if !found {
		return nil, errors.New("no such peer")
	}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()

	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}

	accepted, err := listener.Accept()
	if err != nil {
		return nil, err
	}

	encoded, err := msgpack.Marshal(header)
	if err != nil {
		return nil, err
	}

	stream := tcpStream{accepted.(*net.TCPConn)}

	go func() {
		if p.intercept != nil && p.intercept(stream) {
			return
		}

		decode := func(header any) error { return msgpack.Unmarshal(encoded, header) }
		_ = server.Serve(context.WithoutCancel(ctx), "entry", decode, stream)
	}()

	return tcpStream{client.(*net.TCPConn)}, nil
}

// fakeCatalog is a catalog with one database.
type fakeCatalog struct {
	mu       sync.Mutex
	database lab.Database
	missing  int // number of further lookups that will not find the database
}

func (r *fakeCatalog) Database(string) (*lab.Database, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.missing--; r.missing >= 0 {
		return nil, false
	}

	d := r.database

	return &d, true
}

func (r *fakeCatalog) Organisation(string) (*lab.Organisation, bool) { return nil, false }
func (r *fakeCatalog) Version() (version, index uint64)              { return 1, 1 }

// fixture is a set of three proxies: the entry proxy p1 in the region coast, and the gateways p2 in coast and p3 in
// bothnia.
type fixture struct {
	entry        *Forwarder
	peers        *fakePeers
	catalog      *fakeCatalog
	near         *fakeGateway // gateway of proxy p2 in coast
	far          *fakeGateway // gateway of proxy p3 in bothnia, the primary's region
	farForwarder *Forwarder
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	clock := labclock.New()
	f := &fixture{
		near: &fakeGateway{}, far: &fakeGateway{},
		catalog: &fakeCatalog{database: lab.Database{
			Name: "rota", Primary: "a",
			Members:    []lab.Announcement{{Member: "a", Region: "bothnia"}},
			Placements: []lab.GatewayPlacement{{Region: "coast", Instance: "p2", Address: "p2"}, {Region: "bothnia", Instance: "p3", Address: "p3"}},
		}},
	}
	proxy := func(id lab.InstanceID, region string, local lab.Gateway) *Forwarder {
		return &Forwarder{
			Self: lab.Instance{ID: id, Region: region}, Clock: clock, Catalog: f.catalog, Local: local,
			Link: &Link{Clock: clock}, ProgressTimeout: 150 * time.Millisecond,
		}
	}
	near := proxy("p2", "coast", f.near)
	f.farForwarder = proxy("p3", "bothnia", f.far)
	f.entry = proxy("p1", "coast", &fakeGateway{})
	f.peers = &fakePeers{t: t, servers: map[string]*Forwarder{"p2": near, "p3": f.farForwarder}}
	f.entry.Peers = f.peers

	return f
}
