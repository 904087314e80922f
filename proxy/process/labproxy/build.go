package labproxy

import (
	"context"
	"crypto/sha256"
	"expvar"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labannounce"
	"laburnumlock.dev/lab/process/labhttp"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labpassword"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
	"laburnumlock.dev/lab/proxy/process/labadmission"
	"laburnumlock.dev/lab/proxy/process/labagent"
	"laburnumlock.dev/lab/proxy/process/labbudget"
	"laburnumlock.dev/lab/proxy/process/labcancel"
	"laburnumlock.dev/lab/proxy/process/labforward"
	"laburnumlock.dev/lab/proxy/process/labfront"
	"laburnumlock.dev/lab/proxy/process/labgateway"
	"laburnumlock.dev/lab/proxy/process/labminposition"
	"laburnumlock.dev/lab/proxy/process/labobserver"
	"laburnumlock.dev/lab/proxy/process/labregistry"
)

// build creates the components from the settings. It starts none of them.
func (p *Proxy) build() error {
	s := p.Settings
	self := lab.Instance{
		ID: lab.InstanceID(s.Instance), Incarnation: uint64(time.Now().UnixNano()),
		Region: s.Region, AvailabilityZone: s.AvailabilityZone, Address: p.ProcessAddress(),
	}

	password, err := labpassword.Read(s.UpstreamPasswordFile)
	if err != nil {
		return err
	}

	tokenKeys, err := labkeys.TokenKeys(s.KeysFolder)
	if err != nil {
		return err
	}

	p.agent = &labagent.Agent{
		Self: self, Peers: p.transport, Clock: p.clock, Random: labrandom.New(), Catalog: p.catalog, Log: p.Logger,
	}
	p.buildGateway(self, &labupstream.Dialer{User: s.UpstreamUser, Password: password})
	p.agent.HeldGrants = p.gateway.HeldGrants
	p.agent.OnRenewed = p.gateway.Assign
	p.buildSessions(self, tokenKeys)
	p.announceServer = &labhttp.Server{
		Address: s.AnnounceAddress,
		Handler: labannounce.Handler(func(_ context.Context, a lab.Announcement) error {
			p.agent.Announce(a)

			return nil
		}),
	}

	return nil
}

func (p *Proxy) buildGateway(self lab.Instance, dialer *labupstream.Dialer) {
	p.observer = &labobserver.Observer{
		Clock: p.clock, Source: labobserver.Upstreams{Dialer: dialer}, StatusObserver: p.agent,
	}
	p.registry = &labregistry.Registry{
		Self: self, Catalog: p.catalog, Peers: p.transport, Clock: p.clock, Random: labrandom.New(),
		Folder: p.Settings.DataFolder,
	}
	p.transport.HandleCall(lab.MethodRegistry, p.registry.Handle)

	p.gateway = &labgateway.Gateway{
		Self: self, Clock: p.clock, Catalog: p.catalog, Lease: p.agent,
		Admission: &labadmission.Admission{Clock: p.clock}, IdempotencyRegistry: p.registry,
		Observer: p.observer, Dialer: dialer, Logger: p.Logger,
	}
}

func (p *Proxy) buildSessions(self lab.Instance, tokenKeys [][]byte) {
	s := p.Settings
	forwarder := &labforward.Forwarder{
		Self: self, Clock: p.clock, Catalog: p.catalog, Local: p.gateway, Peers: p.transport,
		Link: &labforward.Link{Clock: p.clock, Rate: s.RegionLinkBits},
	}
	p.transport.HandleStream(lab.MethodTransaction, forwarder.Serve)

	decoySecret := sha256.Sum256(append([]byte("unknown users"), tokenKeys[0]...))
	keys := &labsession.CancelKeys{Proxy: labsession.ProxyNumber(self.ID)}
	p.cancelForwarder = &labcancel.Forwarder{
		Self: self, Proxies: p.catalog.Proxies, Peers: p.transport, Keys: keys, Log: p.Logger,
	}
	p.transport.HandleCall(lab.MethodCancel, p.cancelForwarder.Handle)

	minPositions := &labminposition.MinPositions{
		Self: self, Candidates: p.catalog.Proxies, Peers: p.transport, Clock: p.clock,
	}
	p.transport.HandleCall(lab.MethodMinPosition, minPositions.Handle)

	p.sessions = &labsession.Server{
		Gateway: forwarder, Catalog: p.catalog, Clock: p.clock, Random: labrandom.Secure{},
		TokenCodec: &labtoken.Codec{Keys: tokenKeys}, RetryBudget: &labbudget.RetryBudget{Clock: p.clock},
		MinPositions: minPositions, Keys: keys, ForwardCancel: p.cancelForwarder.Forward,
		DecoySecret: decoySecret[:], Log: p.Logger, MessageLimit: int(s.MaxMessageBytes),
	}
	p.clientListener = &labfront.Listener{
		ListenAddress: s.ClientAddress, Server: p.sessions, Log: p.Logger, EventLoops: int(s.EventLoops),
		MaxConnections: int(s.MaxClients), StartupDeadline: time.Duration(s.StartupDeadlineMS) * time.Millisecond,
	}
	reads, writes := labmetrics.NewHistogram(), labmetrics.NewHistogram()
	p.sessions.ObserveLatency = func(isRead bool, latency time.Duration) {
		if isRead {
			reads.Record(latency)
		} else {
			writes.Record(latency)
		}
	}
	p.variables.Set("read_latency", reads)
	p.variables.Set("write_latency", writes)
	p.publishVariables(forwarder.Link)
}

func (p *Proxy) publishVariables(link *labforward.Link) {
	p.variables.Set("region_link_bytes", expvar.Func(func() any {
		control, writes, reads := link.SentBytes()

		return map[string]int64{"control": control, "write": writes, "read": reads}
	}))
	p.variables.Set("held_duties", expvar.Func(func() any { return len(p.gateway.HeldGrants()) }))
	p.variables.Set("lease_alive", expvar.Func(func() any { return p.agent.Valid() }))
	p.variables.Set("registry_names", expvar.Func(func() any { return p.registry.EntryCount() }))
	p.variables.Set("transport", p.transport.Variables())
	p.variables.Set("agent", p.agent.Variables())
	p.variables.Set("callers_open", &p.clientListener.Counters.Open)
	p.variables.Set("units", &p.sessions.Counters.Batches)
	p.variables.Set("replica_reads", &p.sessions.Counters.ReplicaReads)
	p.variables.Set("not_run", &p.sessions.Counters.NotRun)
	p.variables.Set("outcome_unknown", &p.sessions.Counters.OutcomeUnknown)
	p.variables.Set("late_answers", &p.sessions.Counters.LateResponses)
	p.variables.Set("cancels_lost", &p.sessions.Counters.CancelsLost)
	p.variables.Set("forwarded_cancels_lost", &p.cancelForwarder.NotFound)
	p.variables.Set("floors_unkept", &p.sessions.Counters.MinPositionsNotStored)
	p.variables.Set("retries", &p.sessions.Counters.Retries)
}
