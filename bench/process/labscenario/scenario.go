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
	Steady      = "steady"       // the deployment's own load
	PrimaryLost = "primary_lost" // the first database's primary is killed
	Roaming     = "roaming"      // sessions move to another proxy before every fourth operation
	Overload    = "overload"     // three times the load that the members can carry
)

const (
	password     = "scenario"
	defaultTime  = 10 * time.Second
	lossAfter    = 3 * time.Second
	overDeadline = time.Second
	overSessions = 800
	overFactor   = 3
	// overAnswer is the deadline that the proxies know, with time left for a session that is busy when an operation is due
	// and for the answer to reach the caller.
	overAnswer = 700 * time.Millisecond
	// overStatement makes the members' slots the bottleneck: with shorter statements the load generator and the stand-ins
	// would use up the processors that the measured instances share with them.
	overStatement  = 50 * time.Millisecond
	steadyDeadline = 15 * time.Second
)

// Names lists the scenarios.
func Names() []string {
	return []string{Steady, PrimaryLost, Roaming, Overload}
}

// Scenario is one run; exported fields are set before Run.
type Scenario struct {
	Name     string
	Settings *labsettings.Deployment
	Seed     uint64
	Duration time.Duration // 10 s when zero
	Logger   zerolog.Logger
	Trace    string // file to which the history is written, empty for none

	deployment *labdeployment.Deployment
}

// Run starts the deployment, applies the load and returns the report.
func (s *Scenario) Run(ctx context.Context) (*Report, error) {
	if s.Duration == 0 {
		s.Duration = defaultTime
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
		s.deployment.StatementCost = overStatement
		s.Settings.Parameters.ReadDeadlineMS = overAnswer.Milliseconds()
		s.Settings.Parameters.WriteDeadlineMS = overAnswer.Milliseconds()
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
		return s.overload(ctx)
	}

	l := s.load(1)

	if s.Name == Roaming {
		l.MovePct = 25
	}

	if s.Name == PrimaryLost {
		g := s.deployment.Group(s.Settings.DatabaseGroup.Databases[0])

		l.Event, l.EventAt = func() { g.Primary().Kill() }, lossAfter
	}

	return s.apply(ctx, l)
}

func (s *Scenario) load(factor float64) *labload.Load {
	w := s.Settings.Workload
	class := ""

	if c := s.Settings.Parameters.ReadClasses; len(c) > 0 {
		class = c[0].Name
	}

	return &labload.Load{
		Addresses: s.deployment.CallerAddresses(), Organisation: s.Settings.Organisation, Password: password,
		Databases: s.Settings.DatabaseGroup.Databases, Sessions: int(w.ClientSessionCount), Seed: s.Seed,
		Reads: float64(w.ReadsPerSecond) * factor, Writes: float64(w.WritesPerSecond) * factor,
		AgedPct: uint64(w.StaleReadsPct), ReadClass: class, OncePct: 30, Deadline: steadyDeadline,
	}
}

func (s *Scenario) apply(ctx context.Context, l *labload.Load) (*Report, error) {
	if err := l.Prepare(ctx); err != nil {
		return nil, errors.Newf("prepare load: %w", err)
	}

	defer l.Close()

	if err := l.Run(ctx, s.Duration); err != nil {
		return nil, errors.Newf("apply load: %w", err)
	}

	return s.report(l)
}

func (s *Scenario) report(l *labload.Load) (*Report, error) {
	operations := l.History()
	final := append(s.deployment.FinalRows(labload.Table), s.deployment.FinalRows(labload.OnceTable)...)
	r := &Report{
		Scenario: s.Name, Deployment: s.Settings.Name, Seed: s.Seed, Seconds: s.Duration.Seconds(),
		OfferedPerS: l.Reads + l.Writes, FailoverGapMS: -1, Violations: labhistory.Check(operations, final),
		SlotLimit: int(s.Settings.DatabaseGroup.Slots), ConnectionLimit: int(s.Settings.DatabaseGroup.Connections),
	}
	r.Counts = labhistory.Count(operations)
	r.GoodputPerS = goodput(operations, l.Deadline, r.Seconds)

	reads, writes := l.ReadLatency().Merged(), l.WriteLatency().Merged()
	r.ReadP50MS, r.ReadP99MS = milliseconds(reads, 50), milliseconds(reads, 99)
	r.WriteP50MS, r.WriteP99MS = milliseconds(writes, 50), milliseconds(writes, 99)

	aged, others := s.deployment.ReplicaShares(labload.AgedMark)
	r.AgedShare, r.OtherShare = aged.Ratio(), others.Ratio()

	for _, d := range s.Settings.DatabaseGroup.Databases {
		for _, m := range s.deployment.Group(d).AllMembers() {
			c := m.Counters()
			r.MaxSlots, r.MaxConnections = max(r.MaxSlots, c.MaxSlots), max(r.MaxConnections, c.MaxOpenConnections)
		}
	}

	if s.Name == PrimaryLost {
		r.failover(operations, s.Settings.DatabaseGroup.Databases[0], l.EventTime())
	}

	t := &labhistory.Trace{Operations: operations, Final: final, Stated: r.Violations}

	return r, t.SaveFile(s.Trace)
}

func (r *Report) failover(operations []labhistory.Operation, database string, lost time.Duration) {
	r.FailoverGapMS = labhistory.Gap(operations, database, lost).Milliseconds()

	for _, o := range operations {
		if o.Writes() && o.Ended > lost && o.Result != labhistory.ResultDone {
			r.FailoverErrors++
		}
	}
}

// overload measures goodput at the load that the slots of the members can just carry, and at three times that load.
func (s *Scenario) overload(ctx context.Context) (*Report, error) {
	w := s.Settings.Workload
	perMember := float64(s.Settings.DatabaseGroup.Slots) * float64(time.Second/overStatement)
	// Every write runs on the primary and reads on any member, so that three members carry a little less than three
	// times one member's rate.
	carried := perMember * float64(len(s.Settings.DatabaseGroup.MemberZones)) * float64(len(s.Settings.DatabaseGroup.Databases)) * 0.8
	unit := carried / float64(w.ReadsPerSecond+w.WritesPerSecond)

	capacity, err := s.apply(ctx, s.over(unit, "capacity-"))
	if err != nil {
		return nil, err
	}

	r, err := s.apply(ctx, s.over(unit*overFactor, "over-"))
	if err != nil {
		return nil, err
	}

	r.CapacityPerS, r.GoodputRatio = capacity.GoodputPerS, r.GoodputPerS/capacity.GoodputPerS

	return r, nil
}

func (s *Scenario) over(factor float64, prefix string) *labload.Load {
	l := s.load(factor)
	l.Sessions, l.Deadline, l.OncePct, l.Prefix, l.Pooled = overSessions, overDeadline, 0, prefix, true

	return l
}
