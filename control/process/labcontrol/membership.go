package labcontrol

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpromoter"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// suspectAfter is the silence of a gateway after which control probes the primaries that it wrote to.
const suspectAfter = 1500 * time.Millisecond

// tickMembership lets proxies leave that were silent for too long.
func (s *Server) tickMembership(ctx context.Context, l *leadership) {
	now := s.Clock.Now()
	var command labcatalog.Command
	for _, p := range s.Catalog.Proxies() {
		silent := now - max(l.contacts.last(p.Instance.ID).at, l.since)
		if silent >= suspectAfter {
			s.suspect(l, p.Instance)
		}
		if silent < SilentAfter {
			continue
		}
		s.Logger.Warn().Str("event", "proxy_silent").Str("instance", string(p.Instance.ID)).Send()
		command.StoppedProxies = append(command.StoppedProxies, labcatalog.StoppedProxy{
			Instance: p.Instance.ID, Incarnation: p.Instance.Incarnation,
		})
	}
	if command.StoppedProxies == nil {
		return
	}
	if _, err := s.propose(ctx, &command); err != nil {
		s.Logger.Warn().Str("event", "membership_change").Err(err).Send()
	}
}

// suspect has the primaries probed that a silent gateway can't report on.
func (s *Server) suspect(l *leadership, gateway lab.Instance) {
	for _, d := range s.Catalog.GatewayRoles(gateway.ID) {
		if g, _, ok := s.Catalog.AllowedGrant(gateway, d); ok && g.Writable {
			l.promoter.Suspect(d.Database, labpromoter.SuspectProbeDuration)
		}
	}
}
