package labinstance

import (
	"context"
	"expvar"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/process/labjournal"
	"laburnumlock.dev/lab/control/process/labprober"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/process/labsender"
	"laburnumlock.dev/lab/control/version/labcatalog"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labhttp"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labpassword"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/process/labtransport"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	dataFolderMode = 0o750
	// sendTimeout is shorter than the upper bound of the election timeout, so that a connection without responses is
	// usually replaced before an election starts.
	sendTimeout = 400 * time.Millisecond
)

// Instance is one control process. Settings.Peers may be changed between Listen and Run, because instances that listen
// on free ports know their addresses only after Listen.
type Instance struct {
	Settings *labsettings.Control
	Logger   zerolog.Logger

	identity       *labkeys.Identity
	transport      *labtransport.Transport
	operators      *labhttp.Server
	announce       *labhttp.Server
	metrics        *labhttp.Server
	journal        lab.Journal
	group          *labconsensus.Group
	publishedGroup atomic.Pointer[labconsensus.Group] // the same as group, for goroutines other than Run's
	server         *labcontrol.Server
	catalog        *labcatalog.Catalog
	senders        labsender.Senders
	bootstrap      bootstrap
	variables      expvar.Map

	// admitPeer decides whether consensus messages, heartbeats and bootstrap requests are exchanged with a process. Tests
	// set it to isolate an instance without closing its connections. A nil function admits every process.
	admitPeer func(peer lab.InstanceID) bool
}

// Listen loads the keys, creates the data folder and opens all sockets.
func (i *Instance) Listen(ctx context.Context) error {
	s := i.Settings

	i.identity = &labkeys.Identity{Folder: s.KeysFolder, Name: s.Instance}
	if err := i.identity.Load(); err != nil {
		return errors.Newf("load identity: %w", err)
	}

	if err := os.MkdirAll(s.DataFolder, dataFolderMode); err != nil {
		return errors.Newf("create data folder: %w", err)
	}

	i.transport = &labtransport.Transport{Address: s.ProcessAddress, Identity: i.identity, Log: i.Logger}
	if err := i.transport.Listen(); err != nil {
		return err
	}

	i.operators = &labhttp.Server{Address: s.OperatorAddress, TLS: i.identity.TLS("http/1.1")}
	i.announce = &labhttp.Server{Address: s.AnnounceAddress}
	i.metrics = &labhttp.Server{Address: s.MetricsAddress, Handler: labmetrics.Handler(&i.variables)}

	for _, h := range []*labhttp.Server{i.operators, i.announce, i.metrics} {
		if err := h.Listen(ctx); err != nil {
			return err
		}
	}

	return nil
}

// ProcessAddress returns the host:port of the transport. It may be called after Listen.
func (i *Instance) ProcessAddress() string {
	return i.transport.BoundAddress()
}

// OperatorAddress returns the host:port of the operators' HTTPS API. It may be called after Listen.
func (i *Instance) OperatorAddress() string {
	return i.operators.BoundAddress()
}

// AnnounceAddress returns the host:port that receives upstreams' announcements. It may be called after Listen.
func (i *Instance) AnnounceAddress() string {
	return i.announce.BoundAddress()
}

// MetricsAddress returns the host:port of the metrics. It may be called after Listen.
func (i *Instance) MetricsAddress() string {
	return i.metrics.BoundAddress()
}

// Leading reports whether this instance leads the control group.
func (i *Instance) Leading() bool {
	g := i.publishedGroup.Load()

	return g != nil && g.Leadership().IsLeader
}

// Run runs the control instance until the context ends.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.build(); err != nil {
		return err
	}

	defer func() { _ = i.journal.Close() }()

	g, ctx := errgroup.WithContext(ctx)

	i.senders = labsender.Senders{Peers: i.transport, Timeout: sendTimeout, Go: func(run func(context.Context)) {
		g.Go(func() error {
			run(ctx)

			return nil
		})
	}}

	for _, run := range []func(context.Context) error{
		i.transport.Run, i.group.Run, i.operators.Run, i.announce.Run, i.metrics.Run, i.server.Run,
	} {
		g.Go(func() error { return withoutCancellation(ctx, run(ctx)) })
	}

	i.Logger.Info().Str("process_address", i.ProcessAddress()).Str("operator_address", i.OperatorAddress()).
		Str("announce_address", i.AnnounceAddress()).Str("metrics_address", i.MetricsAddress()).Msg("control_started")

	if err := g.Wait(); err != nil {
		return errors.Newf("run control instance: %w", err)
	}

	i.Logger.Info().Msg("control_stopped")

	return nil
}

// withoutCancellation returns nil for the error of a component that stopped because the context ended.
func withoutCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}

	return err
}

func (i *Instance) build() error {
	s := i.Settings
	self := lab.Instance{
		ID: lab.InstanceID(s.Instance), Incarnation: uint64(time.Now().UnixNano()),
		Region: s.Region, AvailabilityZone: s.AvailabilityZone, Address: i.ProcessAddress(),
	}
	clock, random, catalog := labclock.New(), labrandom.New(), labcatalog.New()
	i.catalog = catalog

	i.journal = &labjournal.Journal{Folder: filepath.Join(s.DataFolder, "journal")}

	i.bootstrap.incarnation = self.Incarnation
	i.group = &labconsensus.Group{
		ID: self.ID, Journal: i.journal, Clock: clock, Random: random, StateMachine: catalog, Send: i.send,
		SnapshotEntries: uint64(s.SnapshotEntries), BeforeBootstrap: i.checkBootstrap, Log: i.Logger,
	}
	i.publishedGroup.Store(i.group)

	addresses, operators := map[lab.InstanceID]string{}, map[lab.InstanceID]string{}

	for _, p := range s.Peers {
		id := lab.InstanceID(p.Instance)
		addresses[id], operators[id] = p.ProcessAddress, "https://"+p.OperatorAddress

		if !s.Join {
			i.group.InitialVoters = append(i.group.InitialVoters, id)
		}
	}

	password, err := labpassword.Read(s.UpstreamPasswordFile)
	if err != nil {
		return err
	}

	i.server = &labcontrol.Server{
		Log: i.group, Group: i.group, Catalog: catalog, Clock: clock, Random: random, Peers: i.transport, Self: self,
		Prober: &labprober.Prober{User: s.UpstreamUser, Password: password}, Addresses: addresses, OperatorURLs: operators,
		Logger: i.Logger,
	}
	i.registerHandlers()

	return nil
}

func (i *Instance) send(to lab.InstanceID, m labreplica.Message) {
	if address, ok := i.server.ControlAddress(to); ok && i.admits(to) {
		i.senders.Send(address, m)
	}
}

func (i *Instance) admits(peer lab.InstanceID) bool {
	return i.admitPeer == nil || i.admitPeer(peer)
}

// admittedOnly makes the calls of processes that are not admitted wait until they time out, like a network that drops
// packets.
func (i *Instance) admittedOnly(next lab.CallHandler) lab.CallHandler {
	return func(ctx context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
		if !i.admits(from) {
			<-ctx.Done()

			return nil, ctx.Err()
		}

		return next(ctx, from, decode)
	}
}

func (i *Instance) registerHandlers() {
	i.transport.HandleCall(methodBootstrap, i.admittedOnly(i.handleBootstrap))
	i.transport.HandleCall(lab.MethodConsensus, i.admittedOnly(i.handleConsensus))
	i.transport.HandleCall(lab.MethodHeartbeat, i.admittedOnly(i.handleHeartbeat))
	i.transport.HandleCall(labcontrol.MethodHeartbeatBatch, i.admittedOnly(i.handleBatch))
	i.operators.Handler = onlyOperators(i.server.Handler())
	i.announce.Handler = onlyAnnouncements(i.server.Handler())
	i.variables.Set("transport", i.transport.Variables())
}

func (i *Instance) handleConsensus(_ context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
	if _, ok := i.server.ControlAddress(from); !ok {
		return nil, errors.Newf("%s is not a control instance", from)
	}

	var b labsender.Batch
	if err := decode(&b); err != nil {
		return nil, err
	}

	for _, m := range b.Messages {
		if m.From != from {
			return nil, errors.Newf("%s sent a consensus message of %s", from, m.From)
		}

		i.group.Deliver(m)
	}

	return nil, nil
}

func (i *Instance) handleHeartbeat(ctx context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
	var h lab.Heartbeat
	if err := decode(&h); err != nil {
		return nil, err
	}

	return i.server.HandleHeartbeat(ctx, from, h)
}

func (i *Instance) handleBatch(ctx context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
	if _, ok := i.server.ControlAddress(from); !ok {
		return nil, errors.Newf("%s is not a control instance", from)
	}

	var b labcontrol.HeartbeatBatch
	if err := decode(&b); err != nil {
		return nil, err
	}

	return i.server.HandleHeartbeatBatch(ctx, from, b)
}

// onlyAnnouncements serves announcements but not the operators' paths, since upstreams have no certificates.
func onlyAnnouncements(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/announcements", next)

	return mux
}

func onlyOperators(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || labkeys.PeerRole(*r.TLS) != labkeys.RoleOperator {
			http.Error(w, "an operator's certificate is required", http.StatusForbidden)

			return
		}

		r.Header.Set(labcontrol.HeaderOperator, string(labkeys.PeerName(*r.TLS)))
		next.ServeHTTP(w, r)
	})
}
