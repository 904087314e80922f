package labslope

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/bench/connection/labcaller"
	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/bench/process/labload"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	pathTime = 3 * time.Second
	warmTime = 300 * time.Millisecond
	readKey  = "measured"
)

// path is one way to the stand-in: the addresses, and the login there.
type path struct {
	name           string
	addresses      []string
	user, password string
}

// statementSettings are two proxies and three members in one region, with enough slots and connections that neither
// limits the sessions.
func statementSettings() *labsettings.Deployment {
	const (
		slots, connections = 64, 128
		queue              = 1000
		deadlineMS         = 5000
		linkBits           = 1_000_000_000
	)

	zones := []string{"zone-1", "zone-2", "zone-3"}
	s := &labsettings.Deployment{
		Name: "statements", RegionLinkBits: linkBits, ProxyZones: zones[:2], ControlZones: zones,
		DatabaseGroup: labsettings.DatabaseGroup{
			Databases: []string{callerDatabase}, MemberZones: zones, Slots: slots, Connections: connections,
		},
		Organisation: callerOrganisation, Template: "rota",
		Parameters: lab.Parameters{ReadDeadlineMS: deadlineMS, WriteDeadlineMS: deadlineMS, QueueLimit: queue, Weight: 1},
	}

	for _, z := range zones {
		s.Zones = append(s.Zones, labsettings.Zone{Name: z, Region: region(0)})
	}

	return s
}

func measureStatements(ctx context.Context, points []int, r *Report) error {
	folder, err := os.MkdirTemp("", "labslope")
	if err != nil {
		return errors.Newf("make folder: %w", err)
	}

	defer func() { _ = os.RemoveAll(folder) }()

	d := &labdeployment.Deployment{
		Settings: statementSettings(), Folder: folder, Password: callerPassword, Logger: zerolog.Nop(),
	}
	if err := d.Start(ctx); err != nil {
		return errors.CombineErrors(err, d.Stop())
	}

	return errors.CombineErrors(measurePaths(ctx, d, points, r), d.Stop())
}

func measurePaths(ctx context.Context, d *labdeployment.Deployment, points []int, r *Report) error {
	paths, err := newPaths(ctx, d)
	if err != nil {
		return err
	}

	r.Unit = "sessions"
	r.Columns = []string{
		"a 1/s", "b 1/s", "c 1/s", "a us cpu", "b us cpu", "c us cpu", "a p50 us", "b p50 us", "c p50 us",
		"b/a 1/s", "c/a 1/s", "b/a p50", "c/a p50",
	}

	for _, p := range paths {
		r.note("%s", p.name)
	}

	r.note("Closed loop for %s each; callers, proxies and stand-ins share one process, and cpu is all of it per statement.", pathTime)

	for _, n := range points {
		if err := comparePaths(ctx, paths, n, r); err != nil {
			return err
		}
	}

	return nil
}

func comparePaths(ctx context.Context, paths []path, sessions int, r *Report) error {
	var rates, processor, median []float64

	for i := range paths {
		c, err := paths[i].measure(ctx, sessions)
		if err != nil {
			return errors.Newf("%s with %d sessions: %w", paths[i].name, sessions, err)
		}

		rates, processor, median = append(rates, c.rate), append(processor, c.processor), append(median, c.median)
	}

	values := append(append(rates, processor...), median...)
	values = append(values, rates[1]/rates[0], rates[2]/rates[0], median[1]/median[0], median[2]/median[0])
	r.add(sessions, values...)

	return nil
}

// newPaths finds the proxy that is the gateway of the database and the one that forwards to it.
func newPaths(ctx context.Context, d *labdeployment.Deployment) ([]path, error) {
	var s labcontrol.Status
	if err := d.Operator().Do(ctx, "GET", "/v1/status", nil, &s); err != nil {
		return nil, errors.Newf("read status: %w", err)
	}

	placement, ok := s.Databases[0].Placement(region(0))
	if !ok {
		return nil, errors.New("the database has no gateway")
	}

	callers := d.CallerAddresses()
	gateway, entry := callers[0], callers[1]

	switch placement.Instance {
	case "proxy-zone-1-1":
	case "proxy-zone-2-2":
		gateway, entry = entry, gateway
	default:
		return nil, errors.Newf("the gateway is %q, none of the two proxies", placement.Instance)
	}

	direct := path{name: "a: directly at the stand-in's replicas", user: "laburnumlock", password: "upstream"}

	group := d.Group(callerDatabase)
	for _, m := range group.AllMembers() {
		if m != group.Primary() {
			direct.addresses = append(direct.addresses, m.Address())
		}
	}

	paths := []path{
		direct,
		{name: "b: a proxy that is the gateway", addresses: []string{gateway}, user: callerOrganisation, password: callerPassword},
		{name: "c: an entry proxy and a gateway", addresses: []string{entry}, user: callerOrganisation, password: callerPassword},
	}

	return paths, paths[1].insert(ctx)
}

// insert writes the row that all sessions read.
func (p *path) insert(ctx context.Context) error {
	c := p.caller(0)
	defer c.Close()

	_, err := c.Exec(ctx, "INSERT INTO "+labload.Table+" (key, value) VALUES ('"+readKey+"', 'v')")

	return errors.Wrap(err, "insert row")
}

func (p *path) caller(number int) *labcaller.Caller {
	return &labcaller.Caller{
		Addresses: p.addresses, Organisation: p.user, Password: p.password, Database: callerDatabase, Start: number,
	}
}

// pathCost is what statements on one path took.
type pathCost struct {
	rate      float64 // statements per second
	processor float64 // microseconds of the whole process per statement
	median    float64 // microseconds
}

func (p *path) measure(ctx context.Context, sessions int) (pathCost, error) {
	callers := make([]*labcaller.Caller, sessions)
	for i := range callers {
		callers[i] = p.caller(i)
		defer callers[i].Close()
	}

	if _, _, err := readAll(ctx, callers, warmTime); err != nil {
		return pathCost{}, err
	}

	used, begin := processorTime(), time.Now()

	count, latency, err := readAll(ctx, callers, pathTime)
	if err != nil {
		return pathCost{}, err
	}

	const median = 50

	return pathCost{
		rate:      float64(count) / time.Since(begin).Seconds(),
		processor: float64((processorTime() - used).Microseconds()) / float64(count),
		median:    float64(latency.Merged().ValueAtQuantile(median)),
	}, nil
}

// readAll lets every session read in a closed loop and returns the number of reads and their latencies.
func readAll(ctx context.Context, callers []*labcaller.Caller, duration time.Duration) (int64, *labmetrics.Histogram, error) {
	var (
		count atomic.Int64
		group errgroup.Group
	)

	latency, until := labmetrics.NewHistogram(), time.Now().Add(duration)

	for _, c := range callers {
		group.Go(func() error {
			for time.Now().Before(until) {
				begin := time.Now()

				a, err := c.Query(ctx, "SELECT value FROM "+labload.Table+" WHERE key = $1", readKey)
				if err != nil {
					return err
				}

				if len(a.Rows) != 1 {
					return errors.Newf("read returned %d rows", len(a.Rows))
				}

				latency.Record(time.Since(begin))
				count.Add(1)
			}

			return nil
		})
	}

	err := group.Wait()

	return count.Load(), latency, errors.Wrap(err, "read")
}
