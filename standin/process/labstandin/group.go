package labstandin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"

	"laburnumlock.dev/lab"
)

// MemberConfig holds the settings with which a member of a group starts.
type MemberConfig struct {
	Name             string
	Region           string
	AvailabilityZone string
	Slots            int           // announced limit of concurrent statements; not enforced, see Counters.MaxSlots
	Connections      int           // maximum number of open connections, 0 for no limit
	Lag              time.Duration // time from a commit on the primary until the member has received the change
	ReplayLag        time.Duration // time from receiving a change until reads see it
	Listen           string        // host:port to listen on, 127.0.0.1:0 when empty
}

// Group is a database group: a primary, which is initially the first member, and its replicas. Exported fields must be
// set before Start or Run.
type Group struct {
	Database              string
	Members               []MemberConfig
	User                  string        // user that clients must log in as
	Password              string        // password of User; when it is empty, clients need not authenticate
	ConnectionCost        time.Duration // simulated time to open a connection
	StatementCost         time.Duration // simulated time to execute a statement that occupies a slot
	PromotionCost         time.Duration // simulated time to promote a member
	AnnounceURLs          []string      // base URLs to post announcements to; when one fails, the next one is used
	AnnounceInterval      time.Duration // time between two announcements of a member, 1 s when zero
	MaxRecordedStatements int           // maximum number of statements that Member.Statements returns, 200,000 when zero

	credentials scram.StoredCredentials
	cancel      context.CancelFunc
	tasks       sync.WaitGroup

	lock              sync.Mutex // guards the fields below and the state of the members
	members           []*Member
	newestPrimary     *Member // member that was promoted last, or the first member before any promotion
	lastTransactionID uint64
	lastConnectionID  uint64
}

const (
	defaultAnnounceInterval      = time.Second
	defaultMaxRecordedStatements = 200_000
)

// Run starts the group and stops it when the context ends.
func (g *Group) Run(ctx context.Context) error {
	if err := g.Start(ctx); err != nil {
		return err
	}

	<-ctx.Done()
	g.Stop()

	return nil
}

// Start opens the listeners of all members and returns.
func (g *Group) Start(ctx context.Context) error {
	if err := g.prepare(); err != nil {
		return err
	}

	ctx, g.cancel = context.WithCancel(ctx)

	for _, s := range g.Members {
		m := &Member{group: g, config: s, context: ctx, lag: s.Lag, replayLag: s.ReplayLag}
		m.rows = map[string]map[string]Row{}
		m.recovery = len(g.members) > 0
		g.members = append(g.members, m)
	}

	if len(g.members) == 0 {
		return errors.New("group has no members")
	}

	g.newestPrimary = g.members[0]

	for _, m := range g.members {
		if err := m.open(); err != nil {
			g.Stop()
			return errors.Newf("open member %s: %w", m.config.Name, err)
		}
	}

	g.startAnnouncing(ctx)

	return nil
}

func (g *Group) prepare() error {
	if g.AnnounceInterval == 0 {
		g.AnnounceInterval = defaultAnnounceInterval
	}

	if g.MaxRecordedStatements == 0 {
		g.MaxRecordedStatements = defaultMaxRecordedStatements
	}

	if g.Password == "" {
		return nil
	}

	c, err := scram.SHA256.NewClient(g.User, g.Password, "")
	if err != nil {
		return errors.Newf("prepare password: %w", err)
	}

	g.credentials, err = c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "standin-salt-16b", Iters: 4096})
	if err != nil {
		return errors.Newf("prepare credentials: %w", err)
	}

	return nil
}

// Stop closes the listeners and connections of all members and waits until their goroutines have ended.
func (g *Group) Stop() {
	g.cancel()

	for _, m := range g.members {
		m.Kill()
	}

	g.tasks.Wait()
}

// Member returns the member with the given name, or nil if there is none.
func (g *Group) Member(name string) *Member {
	for _, m := range g.members {
		if m.config.Name == name {
			return m
		}
	}

	return nil
}

// AllMembers returns the members in the order of Members.
func (g *Group) AllMembers() []*Member {
	return append([]*Member(nil), g.members...)
}

// Primary returns the member that was promoted last, or the first member before any promotion. The member may have been
// killed.
func (g *Group) Primary() *Member {
	g.lock.Lock()
	defer g.lock.Unlock()

	return g.newestPrimary
}

// Announcements returns the current announcements of all members.
func (g *Group) Announcements() []lab.Announcement {
	all := make([]lab.Announcement, 0, len(g.members))
	for _, m := range g.members {
		all = append(all, m.Announcement())
	}

	return all
}
