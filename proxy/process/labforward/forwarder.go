package labforward

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Forwarder is the lab.Gateway of the entry side: it finds the proxy that holds a transaction's duty.
type Forwarder struct {
	Self   lab.Instance
	Routes lab.Routes
	Local  lab.Gateway
}

// Begin opens a transaction at the gateway for the header.
func (f *Forwarder) Begin(ctx context.Context, header lab.Header) (lab.Transaction, error) {
	placement, err := f.place(header)
	if err != nil {
		return nil, err
	}

	header.Region = placement.Region

	if placement.Instance != f.Self.ID {
		return nil, lab.NotRun(lab.ReasonMisrouted, errors.Newf("gateway is %s", placement.Instance))
	}

	return f.Local.Begin(ctx, header)
}

// place finds the gateway: of the primary's region for writes, of the own region first for reads.
func (f *Forwarder) place(header lab.Header) (lab.Placement, error) {
	database, found := f.Routes.Database(header.Database)
	if !found {
		return lab.Placement{}, lab.NotRun(lab.ReasonRejected, errors.Newf("no database %q", header.Database))
	}

	region := f.Self.Region
	if primary, known := database.Member(database.Primary); known && !header.ReadOnly {
		region = primary.Region
	}

	if p, placed := database.Placement(region); placed {
		return p, nil
	}

	return lab.Placement{}, lab.NotRun(lab.ReasonNoPrimary, errors.Newf("no gateway in region %q", region))
}
