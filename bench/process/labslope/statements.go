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
	"laburnumlock.dev/lab/bench/connection/labclient"
	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/bench/process/labload"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	measuredDuration = 3 * time.Second
	warmUpDuration   = 300 * time.Millisecond
	readKey          = "measured"
)

// path is a connection path to the stand-in servers: the addresses to connect to, and the user and password to log in
// with.
type path struct {
	name           string
	addresses      []string
	user, password string
}

// statementSettings returns the settings of a deployment with two proxies and three members in one region. The members
// have enough slots and connections that neither limits the sessions.
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
			Databases: []string{sessionDatabase}, MemberZones: zones, Slots: slots, Connections: connections,
		},
		Organisation: organisationName, Template: "rota",
		Parameters: lab.Parameters{ReadDeadlineMS: deadlineMS, WriteDeadlineMS: deadlineMS, QueueLimit: queue, Weight: 1},
	}

	for _, z := range zones {
		s.Zones = append(s.Zones, labsettings.Zone{Name: z, Region: regionName(0)})
	}

	return s
}

func measureStatements(ctx context.Context, points []int, r *Report) error {
	folder, err := os.MkdirTemp("", "labslope")
	if err != nil {
		return errors.Newf("create data folder: %w", err)
	}

	defer func() { _ = os.RemoveAll(folder) }()

	d := &labdeployment.Deployment{
		Settings: statementSettings(), Folder: folder, Password: sessionPassword, Logger: zerolog.Nop(),
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
		r.addNote("%s", p.name)
	}

	r.addNote("Closed loop for %s each. Clients, proxies and stand-in servers share one process; cpu is the time of the whole process per statement.", measuredDuration)

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
			return errors.Newf("measure path %q with %d sessions: %w", paths[i].name, sessions, err)
		}

		rates, processor, median = append(rates, c.rate), append(processor, c.processor), append(median, c.median)
	}

	values := append(append(rates, processor...), median...)
	values = append(values, rates[1]/rates[0], rates[2]/rates[0], median[1]/median[0], median[2]/median[0])
	r.addPoint(sessions, values...)

	return nil
}

// newPaths returns the three paths to compare. The first path leads directly to the replicas, the second through the
// proxy that is the gateway of the database, and the third through the other proxy, which forwards to the gateway.
func newPaths(ctx context.Context, d *labdeployment.Deployment) ([]path, error) {
	var s labcontrol.Status
	if err := d.Operator().Do(ctx, "GET", "/v1/status", nil, &s); err != nil {
		return nil, errors.Newf("read status of control group: %w", err)
	}

	placement, ok := s.Databases[0].Placement(regionName(0))
	if !ok {
		return nil, errors.New("the database has no gateway")
	}

	addresses := d.ClientAddresses()
	gateway, entry := addresses[0], addresses[1]

	switch placement.Instance {
	case "proxy-zone-1-1":
	case "proxy-zone-2-2":
		gateway, entry = entry, gateway
	default:
		return nil, errors.Newf("the gateway is %q, which is neither of the two proxies", placement.Instance)
	}

	direct := path{name: "a: directly to the replicas of the stand-in servers", user: "laburnumlock", password: "upstream"}

	group := d.Group(sessionDatabase)
	for _, m := range group.AllMembers() {
		if m != group.Primary() {
			direct.addresses = append(direct.addresses, m.Address())
		}
	}

	paths := []path{
		direct,
		{name: "b: through a proxy that is the gateway", addresses: []string{gateway}, user: organisationName, password: sessionPassword},
		{name: "c: through an entry proxy and a gateway", addresses: []string{entry}, user: organisationName, password: sessionPassword},
	}

	return paths, paths[1].insertRow(ctx)
}

// insertRow inserts the row that all sessions read.
func (p *path) insertRow(ctx context.Context) error {
	c := p.newClient(0)
	defer c.Close()

	_, err := c.Exec(ctx, "INSERT INTO "+labload.Table+" (key, value) VALUES ('"+readKey+"', 'v')")

	return errors.Wrap(err, "insert row")
}

func (p *path) newClient(number int) *labclient.Client {
	return &labclient.Client{
		Addresses: p.addresses, Organisation: p.user, Password: p.password, Database: sessionDatabase, FirstAddress: number,
	}
}

// pathCost holds the measured rate, processor time and latency of the statements on one path.
type pathCost struct {
	rate      float64 // statements per second
	processor float64 // processor time of the whole process per statement, in microseconds
	median    float64 // median latency in microseconds
}

func (p *path) measure(ctx context.Context, sessions int) (pathCost, error) {
	clients := make([]*labclient.Client, sessions)
	for i := range clients {
		clients[i] = p.newClient(i)
		defer clients[i].Close()
	}

	if _, _, err := readAll(ctx, clients, warmUpDuration); err != nil {
		return pathCost{}, err
	}

	used, begin := processorTime(), time.Now()

	count, latency, err := readAll(ctx, clients, measuredDuration)
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

// readAll lets every client read in a closed loop for the duration. It returns the number of reads and their latencies.
func readAll(ctx context.Context, clients []*labclient.Client, duration time.Duration) (int64, *labmetrics.Histogram, error) {
	var (
		count atomic.Int64
		group errgroup.Group
	)

	latency, deadline := labmetrics.NewHistogram(), time.Now().Add(duration)

	for _, c := range clients {
		group.Go(func() error {
			for time.Now().Before(deadline) {
				begin := time.Now()

				result, err := c.Query(ctx, "SELECT value FROM "+labload.Table+" WHERE key = $1", readKey)
				if err != nil {
					return err
				}

				if len(result.Rows) != 1 {
					return errors.Newf("read returned %d rows", len(result.Rows))
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
