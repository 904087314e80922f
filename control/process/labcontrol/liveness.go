package labcontrol

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpromoter"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// suspectTimeout is the time without a heartbeat from a gateway after which control probes the primaries that the
// gateway wrote to.
const suspectTimeout = 1500 * time.Millisecond

// checkSilentProxies records in the catalog that a proxy has stopped if it sent no heartbeat for ProxyTimeout. It
// suspects the primaries of a gateway that sent no heartbeat for suspectTimeout.
func (s *Server) checkSilentProxies(ctx context.Context, l *leadership) {
	now := s.Clock.Now()
	var command labcatalog.Command
	for _, p := range s.Catalog.Proxies() {
		silent := now - max(l.heartbeats.last(p.Instance.ID).receivedAt, l.startedAt)
		if silent >= suspectTimeout {
			s.suspectPrimaries(l, p.Instance)
		}
		if silent < ProxyTimeout {
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

// suspectPrimaries makes control probe the primaries of a silent gateway, since the gateway can't report their loss.
func (s *Server) suspectPrimaries(l *leadership, gateway lab.Instance) {
	for _, role := range s.Catalog.GatewayRoles(gateway.ID) {
		if g, _, ok := s.Catalog.AllowedGrant(gateway, role); ok && g.Writable {
			l.promoter.Suspect(role.Database, labpromoter.SuspectProbeDuration)
		}
	}
}
