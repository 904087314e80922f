package labdirectory

import (
	"hash/fnv"
	"maps"
	"slices"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/lablimit"
	"laburnumlock.dev/lab/proxy/process/laboutlier"
	"laburnumlock.dev/lab/proxy/process/labrelay"
	"laburnumlock.dev/lab/proxy/process/labselection"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

// newService returns a service without members.
func (d *Directory) newService() *service {
	s := &service{members: map[string]*member{}}
	if !d.FixedCosts {
		s.detector = &laboutlier.Detector{Phase: d.phase()}
	}

	return s
}

// newLimit returns the limit of the statements in progress at a member, nil with FixedCosts.
func (d *Directory) newLimit() *lablimit.Limit {
	if d.FixedCosts {
		return nil
	}

	return &lablimit.Limit{Phase: d.phase()}
}

// phase returns a number that differs between proxies, so that they don't act in step.
func (d *Directory) phase() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Self)) // Write never fails

	return h.Sum64()
}

// setMeasured sets the members that the detector compares. It forgets what is known about a member that has started
// again, if one is named.
func (s *service) setMeasured(started string) {
	if s.detector == nil {
		return
	}

	s.detector.SetMembers(slices.Collect(maps.Keys(s.members)))
	s.detector.Forget(started)
}

// sampler returns the function that receives the samples of a member, nil with FixedCosts. The function doesn't lock the
// directory.
func (d *Directory) sampler(s *service, a lab.Announcement) func(labsample.Sample) {
	if s.detector == nil {
		return nil
	}

	network := labselection.Network(a.AvailabilityZone == d.AvailabilityZone, a.Region == d.Region)

	return func(o labsample.Sample) {
		d.logChange(s.detector, a.Database, a.Member, s.detector.Add(d.Clock.Now(), a.Member, o, network))
	}
}

// measureRelay connects the source of relayed statements with what is known about the members.
func (d *Directory) measureRelay(s *service, r *labrelay.Source, onSample func(labsample.Sample)) {
	if s.detector == nil {
		return
	}

	r.OnSample = onSample
	r.OnCondition = func(c laboutlier.Condition) { s.detector.Report(d.Clock.Now(), r.Target.Member, c) }
	r.Alternative = func() (laboutlier.Condition, bool) { return s.detector.Alternative(d.Clock.Now(), r.Target.Member) }
}

// Refuses reports whether a relayed statement is refused here that another member in the given condition can run. The
// proxies of a zone relay through the same gateways, which have the samples that a single proxy lacks.
func (d *Directory) Refuses(name, member string, alternative laboutlier.Condition) bool {
	o := d.detector(name)

	return o != nil && o.Refuses(d.Clock.Now(), member, alternative)
}

// Condition returns how well a member serves at this proxy.
func (d *Directory) Condition(name, member string) laboutlier.Condition {
	o := d.detector(name)
	if o == nil {
		return laboutlier.Condition{}
	}

	return o.Condition(d.Clock.Now(), member)
}

func (d *Directory) detector(name string) *laboutlier.Detector {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if s, ok := d.services[name]; ok {
		return s.detector
	}

	return nil
}

// logChange logs that a member is ejected or taken back, with the condition on which that was decided.
func (d *Directory) logChange(detector *laboutlier.Detector, service, member string, change laboutlier.Change) {
	event := "member_ejected"

	switch change {
	case laboutlier.ChangeNone:
		return
	case laboutlier.ChangeRestored:
		event = "member_restored"
	case laboutlier.ChangeEjected:
	}

	c := detector.Condition(d.Clock.Now(), member)
	d.Log.Info().Str("service", service).Str("member", member).Float64("slowdown", c.Slowdown).Float64("failures", c.Failures).
		Msg(event)
}

// assess adds what the samples say about the members to the options of a read.
func (d *Directory) assess(name string, detector *laboutlier.Detector, options []labselection.Option) {
	names := make([]string, len(options))
	for i := range options {
		names[i] = options[i].Member
	}

	for i, a := range detector.Assess(d.Clock.Now(), names) {
		d.logChange(detector, name, names[i], a.Change)

		o := &options[i]
		o.Weight, o.Slowdown, o.Execution, o.Ejected, o.Trial = a.Weight, a.Slowdown, a.Execution, a.Ejected, a.Trial
	}
}

// MemberMeasurement is what this proxy has measured of one member, for metrics.
type MemberMeasurement struct {
	Limit       int   `json:"limit"`       // statements that may run at a time on direct connections
	Connections int   `json:"connections"` // the most that can run without a learned limit
	LatencyUS   int64 `json:"latency_us"`  // latency of reads without the network, 0 with too few samples
	Ejected     bool  `json:"ejected"`
}

// Measurements returns the measurements by service and member, as "service/member". There is one for each known member.
func (d *Directory) Measurements() map[string]MemberMeasurement {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	out := map[string]MemberMeasurement{}

	for n, s := range d.services {
		ids := slices.Sorted(maps.Keys(s.members))
		assessed := make([]laboutlier.Assessment, len(ids))

		if s.detector != nil {
			assessed = s.detector.Assess(d.Clock.Now(), ids)
		}

		for i, id := range ids {
			limit, maximum := s.members[id].pool.LearnedLimit()
			out[n+"/"+id] = MemberMeasurement{
				Limit: limit, Connections: maximum, LatencyUS: assessed[i].Latency.Microseconds(), Ejected: assessed[i].Ejected,
			}
		}
	}

	return out
}
