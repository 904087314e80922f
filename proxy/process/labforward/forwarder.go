package labforward

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// defaultRouteTimeout bounds the search for a gateway for requests without a deadline.
	defaultRouteTimeout = 5 * time.Second
	// catalogRetryDelay gives the catalog time to change when every known gateway refused.
	catalogRetryDelay = 50 * time.Millisecond

	// DefaultProgressTimeout is the time without any frame after which a stream is taken for lost.
	DefaultProgressTimeout = time.Second
	// keepAlivesPerTimeout is how many keepalive frames are sent in one progress timeout.
	keepAlivesPerTimeout = 3
	// outcomeGrace is how long the peer's word is awaited after the deadline, so that its outcome is used.
	outcomeGrace = 100 * time.Millisecond
)

// Forwarder opens transactions at the proxy that holds the duty, and serves those that other proxies forward here.
type Forwarder struct {
	Self            lab.Instance
	Clock           lab.Clock
	Catalog         lab.Catalog
	Local           lab.Gateway
	Peers           lab.PeerClient
	Link            *Link // to the other regions
	ProgressTimeout time.Duration
}

// Begin opens a transaction at the gateway for the header. A gateway at another proxy admits it with its first unit.
func (f *Forwarder) Begin(ctx context.Context, header lab.TransactionHeader) (lab.Transaction, error) {
	t := &transaction{forwarder: f, header: header, started: f.Clock.Now(), triedProxies: map[lab.InstanceID]bool{}, firstBatch: true}

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

// choosePlacement finds the gateway among those not tried yet: of the primary's region for writes; for reads of the own region,
// then of the primary's, then of any other.
func (f *Forwarder) choosePlacement(header lab.TransactionHeader, tried map[lab.InstanceID]bool) (lab.GatewayPlacement, bool) {
	database, found := f.Catalog.Database(header.Database)
	if !found {
		// The session has checked that the organisation has the database; its members are not in the catalog yet.
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
		// While a promotion runs, the gateway that holds the primary's last region is not known.
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

// linkTo returns the link that traffic to a region uses, nil within the own region.
func (f *Forwarder) linkTo(region string) *Link {
	if region == f.Self.Region {
		return nil
	}

	return f.Link
}
