package labcontrol

import (
	"context"
	"slices"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// tickPlacements commits the placements that no longer fit the live proxies.
func (s *Server) tickPlacements(ctx context.Context, l *leadership) {
	if s.Clock.Now()-l.since < SettleTime {
		return
	}
	index := s.Catalog.Index()
	if l.planned == index {
		return
	}
	command := plan(s.Catalog)
	if command.Placements == nil && command.Registries == nil {
		l.planned = index

		return
	}
	if _, err := s.propose(ctx, &command); err != nil {
		s.Logger.Warn().Str("event", "placement_change").Err(err).Send()
	}
}

// plan returns the placements and registry holders to change.
func plan(c *labcatalog.Catalog) labcatalog.Command {
	f := newSpread(c)
	var command labcatalog.Command
	for _, n := range c.Databases() {
		d, _ := c.Database(n)
		for _, r := range regions(d) {
			if p, change := f.place(d, r); change {
				command.Placements = append(command.Placements, p)
			}
		}
		if r, change := f.registry(d); change {
			command.Registries = append(command.Registries, r)
		}
	}

	return command
}

// regions returns the regions in which a database has members or a placement.
func regions(d *lab.Database) []string {
	list := make([]string, 0, len(d.Members)+len(d.Placements))
	for _, m := range d.Members {
		list = append(list, m.Region)
	}
	for _, p := range d.Placements {
		list = append(list, p.Region)
	}
	slices.Sort(list)

	return slices.Compact(list)
}
