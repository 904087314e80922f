package labscenario

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/bench/process/labload"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/version/labsettings"
)

// The names of the scenarios.
const (
	Steady      = "steady"       // load as the deployment file states it
	PrimaryLost = "primary_lost" // the primary of the first database is killed during the load
	Roaming     = "roaming"      // before a quarter of the operations, the session moves to another proxy
	Overload    = "overload"     // load of three times the members' capacity
)

const (
	password         = "scenario"
	defaultDuration  = 10 * time.Second
	primaryKillDelay = 3 * time.Second
	overloadDeadline = time.Second
	overloadSessions = 800
	overloadFactor   = 3
	// overloadProxyDeadline is the deadline that the proxies apply. It is shorter than overloadDeadline to leave time for
	// an operation to wait for a busy session and for the response to reach the client.
	overloadProxyDeadline = 700 * time.Millisecond
	// overloadStatementCost makes the members' slots the bottleneck. With shorter statements the load generator and the
	// stand-in servers would use up the processors, which they share with the measured instances.
	overloadStatementCost = 50 * time.Millisecond
	steadyDeadline        = 15 * time.Second
)

// Names returns the names of all scenarios.
func Names() []string {
	return []string{Steady, PrimaryLost, Roaming, Overload}
}

// Scenario runs one scenario on a deployment of its own. Exported fields are set before Run.
type Scenario struct {
	Name     string
	Settings *labsettings.Deployment
	Seed     uint64
	Duration time.Duration // time under load; 10 s if zero
	Logger   zerolog.Logger
	Trace    string // file to which the trace of the run is written; empty for none

	deployment *labdeployment.Deployment
}

// Run starts the deployment, runs the scenario's load, stops the deployment and returns the report.
func (s *Scenario) Run(ctx context.Context) (*Report, error) {
	if s.Duration == 0 {
		s.Duration = defaultDuration
	}

	folder, err := os.MkdirTemp("", "laburnumbench-")
	if err != nil {
		return nil, errors.Newf("create data folder: %w", err)
	}

	defer func() { _ = os.RemoveAll(folder) }()

	w := s.Settings.Workload
	s.deployment = &labdeployment.Deployment{
		Settings: s.Settings, Folder: folder, Password: password, Logger: s.Logger,
		ConnectionCost: time.Duration(s.Settings.ConnectCostUS) * time.Microsecond,
		StatementCost:  time.Duration(w.StatementUS) * time.Microsecond,
		Lag:            time.Duration(w.ReplicationLagMS) * time.Millisecond,
	}

	if s.Name == Overload {
		s.deployment.StatementCost = overloadStatementCost
		s.Settings.Parameters.ReadDeadlineMS = overloadProxyDeadline.Milliseconds()
		s.Settings.Parameters.WriteDeadlineMS = overloadProxyDeadline.Milliseconds()
	}

	err = s.deployment.Start(ctx)

	var r *Report
	if err == nil {
		r, err = s.measure(ctx)
	}

	if err = errors.CombineErrors(err, s.deployment.Stop()); err != nil {
		return nil, errors.Newf("run scenario %s: %w", s.Name, err)
	}

	return r, nil
}

func (s *Scenario) measure(ctx context.Context) (*Report, error) {
	if s.Name == Overload {
		return s.measureOverload(ctx)
	}

	l := s.newLoad(1)

	if s.Name == Roaming {
		l.MovePct = 25
	}

	if s.Name == PrimaryLost {
		g := s.deployment.Group(s.Settings.DatabaseGroup.Databases[0])

		l.Event, l.EventAt = func() { g.Primary().Kill() }, primaryKillDelay
	}

	return s.runLoad(ctx, l)
}

func (s *Scenario) newLoad(factor float64) *labload.Load {
	w := s.Settings.Workload
	class := ""

	if c := s.Settings.Parameters.ReadClasses; len(c) > 0 {
		class = c[0].Name
	}

	return &labload.Load{
		Addresses: s.deployment.ClientAddresses(), Organisation: s.Settings.Organisation, Password: password,
		Databases: s.Settings.DatabaseGroup.Databases, Sessions: int(w.ClientSessionCount), Seed: s.Seed,
		ReadRate: float64(w.ReadsPerSecond) * factor, WriteRate: float64(w.WritesPerSecond) * factor,
		BoundedStalenessPct: uint64(w.StaleReadsPct), ReadClass: class, IdempotentPct: 30, Deadline: steadyDeadline,
	}
}

func (s *Scenario) runLoad(ctx context.Context, l *labload.Load) (*Report, error) {
	if err := l.Prepare(ctx); err != nil {
		return nil, errors.Newf("prepare load: %w", err)
	}

	defer l.Close()

	if err := l.Run(ctx, s.Duration); err != nil {
		return nil, errors.Newf("apply load: %w", err)
	}

	return s.newReport(l)
}

func (s *Scenario) newReport(l *labload.Load) (*Report, error) {
	operations := l.History()
	final := append(s.deployment.FinalRows(labload.Table), s.deployment.FinalRows(labload.IdempotentTable)...)
	r := &Report{
		Scenario: s.Name, Deployment: s.Settings.Name, Seed: s.Seed, Seconds: s.Duration.Seconds(),
		OfferedPerS: l.ReadRate + l.WriteRate, FailoverGapMS: -1, Violations: labhistory.Check(operations, final),
		SlotLimit: int(s.Settings.DatabaseGroup.Slots), ConnectionLimit: int(s.Settings.DatabaseGroup.Connections),
	}
	r.Counts = labhistory.Count(operations)
	r.GoodputPerS = goodput(operations, l.Deadline, r.Seconds)

	reads, writes := l.ReadLatency().Merged(), l.WriteLatency().Merged()
	r.ReadP50MS, r.ReadP99MS = quantileMilliseconds(reads, 50), quantileMilliseconds(reads, 99)
	r.WriteP50MS, r.WriteP99MS = quantileMilliseconds(writes, 50), quantileMilliseconds(writes, 99)

	boundedStaleness, others := s.deployment.ReplicaShares(labload.BoundedStalenessMark)
	r.BoundedStalenessReplicaShare, r.OtherReplicaShare = boundedStaleness.Ratio(), others.Ratio()

	for _, d := range s.Settings.DatabaseGroup.Databases {
		for _, m := range s.deployment.Group(d).AllMembers() {
			c := m.Counters()
			r.MaxSlots, r.MaxConnections = max(r.MaxSlots, c.MaxSlots), max(r.MaxConnections, c.MaxOpenConnections)
		}
	}

	if s.Name == PrimaryLost {
		r.addFailover(operations, s.Settings.DatabaseGroup.Databases[0], l.EventTime())
	}

	t := &labhistory.Trace{Operations: operations, Final: final, Violations: r.Violations}

	return r, t.SaveFile(s.Trace)
}

func (r *Report) addFailover(operations []labhistory.Operation, database string, lost time.Duration) {
	r.FailoverGapMS = labhistory.FailoverGap(operations, database, lost).Milliseconds()

	for _, o := range operations {
		if o.IsWrite() && o.CompletedAt > lost && o.Result != labhistory.ResultDone {
			r.FailoverWriteErrors++
		}
	}
}

// measureOverload measures the goodput at the estimated capacity of the members' slots and at three times that load.
func (s *Scenario) measureOverload(ctx context.Context) (*Report, error) {
	w := s.Settings.Workload
	memberRate := float64(s.Settings.DatabaseGroup.Slots) * float64(time.Second/overloadStatementCost)
	// Reads run on any member but writes only on the primary. The capacity of three members is therefore a little less
	// than three times the rate of one member; the factor 0.8 accounts for that.
	capacityRate := memberRate * float64(len(s.Settings.DatabaseGroup.MemberZones)) * float64(len(s.Settings.DatabaseGroup.Databases)) * 0.8
	capacityFactor := capacityRate / float64(w.ReadsPerSecond+w.WritesPerSecond)

	capacity, err := s.runLoad(ctx, s.newOverloadLoad(capacityFactor, "capacity-"))
	if err != nil {
		return nil, err
	}

	r, err := s.runLoad(ctx, s.newOverloadLoad(capacityFactor*overloadFactor, "over-"))
	if err != nil {
		return nil, err
	}

	r.CapacityPerS, r.GoodputRatio = capacity.GoodputPerS, r.GoodputPerS/capacity.GoodputPerS

	return r, nil
}

func (s *Scenario) newOverloadLoad(factor float64, prefix string) *labload.Load {
	l := s.newLoad(factor)
	l.Sessions, l.Deadline, l.IdempotentPct, l.KeyPrefix, l.Pooled = overloadSessions, overloadDeadline, 0, prefix, true

	return l
}
