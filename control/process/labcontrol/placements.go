package labcontrol

import (
	"context"
	"slices"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// updatePlacements commits new gateway placements and registry replicas where the current ones don't fit the live
// proxies.
func (s *Server) updatePlacements(ctx context.Context, l *leadership) {
	if s.Clock.Now()-l.startedAt < SettleTime {
		return
	}
	index := s.Catalog.Index()
	if l.plannedIndex == index {
		return
	}
	command := planPlacements(s.Catalog)
	if command.Placements == nil && command.Registries == nil {
		l.plannedIndex = index

		return
	}
	if _, err := s.propose(ctx, &command); err != nil {
		s.Logger.Warn().Str("event", "placement_change").Err(err).Send()
	}
}

// planPlacements returns a command with the gateway placements and registry replicas to change.
func planPlacements(c *labcatalog.Catalog) labcatalog.Command {
	pl := newPlanner(c)
	var command labcatalog.Command
	for _, n := range c.Databases() {
		d, _ := c.Database(n)
		for _, r := range databaseRegions(d) {
			if p, changed := pl.placeRole(d, r); changed {
				command.Placements = append(command.Placements, p)
			}
		}
		if r, changed := pl.placeRegistry(d); changed {
			command.Registries = append(command.Registries, r)
		}
	}

	return command
}

// databaseRegions returns the regions in which a database has members or a placement.
func databaseRegions(d *lab.Database) []string {
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
