package labforward

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// defaultRouteTimeout bounds the search for the gateway when the request has no deadline.
	defaultRouteTimeout = 5 * time.Second
	// catalogRetryDelay is the pause after all known gateways have rejected a request. The catalog may change during
	// the pause, and the gateways are then tried again.
	catalogRetryDelay = 50 * time.Millisecond

	// DefaultProgressTimeout is the default of Forwarder.ProgressTimeout.
	DefaultProgressTimeout = time.Second
	// keepAlivesPerTimeout is how many keepalive frames are sent in one progress timeout.
	keepAlivesPerTimeout = 3
	// outcomeGrace is how long an entry proxy waits after the deadline for the gateway to report the outcome. It is
	// also how long a gateway waits after the end of a transaction for the entry proxy to close the stream.
	outcomeGrace = 100 * time.Millisecond
)

// Forwarder opens transactions at the proxy that holds the gateway role, and serves the transactions that other proxies
// forward to this one.
type Forwarder struct {
	Self            lab.Instance
	Clock           lab.Clock
	Catalog         lab.Catalog
	Local           lab.Gateway // gateway of this proxy
	Peers           lab.PeerClient
	Link            *Link         // limits the traffic to other regions
	ProgressTimeout time.Duration // time without any frame after which a stream is considered lost; 1 s when zero
}

// Begin opens a transaction at a gateway for the header's database. A gateway at another proxy admits the transaction
// only when the first batch arrives there.
func (f *Forwarder) Begin(ctx context.Context, header lab.TransactionHeader) (lab.Transaction, error) {
	t := &transaction{
		forwarder: f, header: header, started: f.Clock.Now(), triedProxies: map[lab.InstanceID]bool{}, firstBatch: true,
	}

	if err := t.openAtGateway(ctx, nil); err != nil {
		return nil, err
	}

	return t, nil
}

// openAt binds a transaction to the gateway of a placement.
func (f *Forwarder) openAt(ctx context.Context, header lab.TransactionHeader, placement lab.GatewayPlacement) (lab.Transaction, error) {
	header.Region = placement.Region

	if placement.Instance == f.Self.ID {
		return f.Local.Begin(ctx, header)
	}

	return &remoteTransaction{forwarder: f, header: header, placement: placement}, nil
}

// choosePlacement returns the placement of a gateway that has not been tried yet. A write needs the gateway of the
// primary's region. A read prefers the gateway of this proxy's region, then the gateway of the primary's region, then
// any other gateway.
func (f *Forwarder) choosePlacement(header lab.TransactionHeader, tried map[lab.InstanceID]bool) (lab.GatewayPlacement, bool) {
	database, found := f.Catalog.Database(header.Database)
	if !found {
		// The session has already checked that the organisation has the database, but the catalog does not contain the
		// database's members yet.
		return lab.GatewayPlacement{}, false
	}

	primary, _ := database.Member(database.Primary)
	regions := make([]string, 0, 2+len(database.Placements))

	switch {
	case header.ReadOnly:
		regions = append(regions, f.Self.Region, primary.Region)
		for _, p := range database.Placements {
			regions = append(regions, p.Region)
		}
	case primary.Region != "":
		regions = append(regions, primary.Region)
	default:
		// While a promotion is in progress, the catalog names no primary. The region of the last primary is then
		// unknown, so all gateways are tried.
		for _, p := range database.Placements {
			regions = append(regions, p.Region)
		}
	}

	for _, r := range regions {
		if p, placed := database.Placement(r); placed && !tried[p.Instance] {
			return p, true
		}
	}

	return lab.GatewayPlacement{}, false
}

func (f *Forwarder) progressTimeout() time.Duration {
	if f.ProgressTimeout > 0 {
		return f.ProgressTimeout
	}

	return DefaultProgressTimeout
}

// linkTo returns the link for traffic to a region, or nil for the proxy's own region.
func (f *Forwarder) linkTo(region string) *Link {
	if region == f.Self.Region {
		return nil
	}

	return f.Link
}
