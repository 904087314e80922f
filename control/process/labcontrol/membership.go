package labcontrol

import (
	"context"

	"laburnumlock.dev/lab/control/version/labcatalog"
)

// tickMembership lets proxies leave that were silent for too long.
func (s *Server) tickMembership(ctx context.Context, l *leadership) {
	now := s.Clock.Now()
	var command labcatalog.Command
	for _, p := range s.Catalog.Proxies() {
		c := l.contacts.last(p.Instance.ID)
		if now-max(c.at, l.since) < SilentAfter {
			continue
		}
		s.Logger.Warn().Str("event", "proxy_silent").Str("instance", string(p.Instance.ID)).Send()
		command.Left = append(command.Left, labcatalog.Departure{
			Instance: p.Instance.ID, Incarnation: p.Instance.Incarnation,
		})
	}
	if command.Left == nil {
		return
	}
	if _, err := s.propose(ctx, &command); err != nil {
		s.Logger.Warn().Str("event", "membership_change").Err(err).Send()
	}
}
