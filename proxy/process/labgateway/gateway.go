package labgateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

const (
	defaultCheckInterval  = 50 * time.Millisecond
	defaultProbeAfterIdle = time.Second
	defaultDeadline       = 30 * time.Second
	defaultKeyRetention   = 24 * time.Hour
)

var (
	errNoLease          = errors.New("no valid lease for the gateway role")
	errMisrouted        = errors.New("the gateway role has moved")
	errNoPrimary        = errors.New("no primary is available for writes")
	errSuperseded       = errors.New("the primary term has been superseded")
	errMemberDraining   = errors.New("the member is draining")
	errGatewayDraining  = errors.New("the gateway is draining")
	errDiverged         = errors.New("the member's role or position contradicts the term history")
	errConnectionFailed = errors.New("the upstream connection failed")
	errTransactionEnded = errors.New("the transaction has ended")
)

// Gateway runs transactions on the members of the databases whose gateway roles the proxy holds.
type Gateway struct {
	Self                lab.Instance
	Clock               lab.Clock
	Catalog             lab.Catalog
	Lease               lab.Lease
	Admission           lab.Admission           // grants the slots of members; see admissionKey
	IdempotencyRegistry lab.IdempotencyRegistry // when nil, requests with an idempotency key are rejected
	Observer            *labobserver.Observer
	Dialer              *labupstream.Dialer
	Logger              zerolog.Logger
	CheckInterval       time.Duration // time between two checks of lease, catalog and members; 50 ms when zero
	ProbeAfterIdle      time.Duration // idle time after which a connection is probed before reuse; 1 s when zero

	mu       sync.RWMutex
	roles    map[lab.GatewayRole]*heldRole
	draining bool
}

// Assign replaces the grants by those of a renewed lease. The lease expires when Clock.Now reaches expiry. A role that
// has no grant any more rejects new transactions, and its connections are closed when its running transactions have
// ended.
func (g *Gateway) Assign(grants []lab.Grant, expiry time.Duration) {
	missing := map[lab.GatewayRole]*heldRole{}

	g.mu.Lock()
	if g.roles == nil {
		g.roles = map[lab.GatewayRole]*heldRole{}
	}

	for k, r := range g.roles {
		missing[k] = r
	}

	var added []*heldRole

	for _, grant := range grants {
		r, found := g.roles[grant.Role]
		delete(missing, grant.Role)

		switch {
		case !found && !g.draining:
			r = newHeldRole(g, leasedGrant{grant: grant, expiry: expiry})
			g.roles[grant.Role] = r
			added = append(added, r)
		case found:
			r.assign(leasedGrant{grant: grant, expiry: expiry})
		}
	}
	g.mu.Unlock()

	for _, r := range missing {
		r.withdraw()
	}

	for _, r := range added {
		g.Logger.Info().Str("database", r.key.Database).Str("region", r.key.Region).
			Uint64("epoch", r.current.grant.Epoch).Msg("acquired gateway role")
		r.applyCatalog()
	}
}

// HeldGrants returns the grants in use. Each heartbeat reports them. The grants of a role are included until all
// connections of the role are closed.
func (g *Gateway) HeldGrants() []lab.Grant {
	g.mu.RLock()
	defer g.mu.RUnlock()

	held := make([]lab.Grant, 0, len(g.roles))
	for _, r := range g.roles {
		held = append(held, r.heldGrants()...)
	}

	return held
}

// Run checks lease, catalog and members periodically until the context ends, and then closes all connections.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(positiveOr(g.CheckInterval, defaultCheckInterval))
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			g.stop()

			return nil
		case <-ticker.C:
			g.checkRoles()
		}
	}
}

// checkRoles checks every role and removes the released ones.
func (g *Gateway) checkRoles() {
	for _, r := range g.allRoles() {
		if r.enforce() {
			g.removeRole(r)
		}
	}
}

func (g *Gateway) removeRole(r *heldRole) {
	g.Observer.Unwatch(r.key.Database)

	g.mu.Lock()
	if g.roles[r.key] == r {
		delete(g.roles, r.key)
	}
	g.mu.Unlock()

	g.Logger.Info().Str("database", r.key.Database).Str("region", r.key.Region).Msg("released gateway role")
}

func (g *Gateway) allRoles() []*heldRole {
	g.mu.RLock()
	defer g.mu.RUnlock()

	roles := make([]*heldRole, 0, len(g.roles))
	for _, r := range g.roles {
		roles = append(roles, r)
	}

	return roles
}

// Drain rejects new transactions, waits until the running ones have ended or the context ends, and closes all
// connections.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()

	for g.hasTransactions() {
		if err := g.Clock.Sleep(ctx, positiveOr(g.CheckInterval, defaultCheckInterval)); err != nil {
			g.stop()

			return errors.Newf("drain gateway: %w", err)
		}
	}

	g.stop()

	return nil
}

func (g *Gateway) hasTransactions() bool {
	for _, r := range g.allRoles() {
		r.mu.Lock()
		count := len(r.transactions)
		r.mu.Unlock()

		if count > 0 {
			return true
		}
	}

	return false
}

// stop terminates all transactions and returns when all connections are closed.
func (g *Gateway) stop() {
	for _, r := range g.allRoles() {
		r.terminateTransactions(errGatewayDraining, func(*transaction) bool { return true })
		r.close()
	}

	for _, r := range g.allRoles() {
		for ; !r.connectionsClosed(); r.dropEmptyPools() {
			time.Sleep(time.Millisecond)
		}

		g.removeRole(r)
	}
}

func (g *Gateway) findRole(header lab.TransactionHeader) (*heldRole, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()

	if g.draining {
		return nil, lab.NotRunError(lab.ReasonDraining, errGatewayDraining)
	}

	region := header.Region
	if region == "" {
		region = g.Self.Region
	}

	r, found := g.roles[lab.GatewayRole{Database: header.Database, Region: region}]
	if found {
		return r, nil
	}

	if database, known := g.Catalog.Database(header.Database); known {
		if p, placed := database.Placement(region); placed && p.Instance == g.Self.ID {
			return nil, lab.NotRunError(lab.ReasonNoLease, errNoLease)
		}
	}

	return nil, lab.NotRunError(lab.ReasonMisrouted, errMisrouted)
}

func (g *Gateway) probeAfterIdle() time.Duration {
	return positiveOr(g.ProbeAfterIdle, defaultProbeAfterIdle)
}

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}

	return fallback
}
