package labtypedsession

import (
	"time"

	"laburnumlock.dev/lab"
)

// report logs a statement that failed or missed the target latency, with the data that may explain the cause.
func (a *attempt) report(o lab.Operation, r lab.OperationResult) {
	elapsed := a.session.Clock.Now() - a.started
	late := a.route.TargetLatency > 0 && elapsed > a.route.TargetLatency

	if r.Fault == lab.FaultNone && !late {
		return
	}

	primary := ""
	if p, ok := a.session.Directory.PrimarySource(a.route.Service); ok {
		primary = p.Member().Member
	}

	a.session.Log.Info().Str("request", o.RequestID).Str("database", a.session.Database).Str("service", a.route.Service).
		Uint8("kind", uint8(o.Kind)).Bool("writes", o.Writes).Bool("in_transaction", a.session.tx != nil).
		Stringer("fault", r.Fault).Str("detail", r.Detail).Stringer("refusal", a.lastRefusal.Fault).
		Int("tries", a.failedTries).Str("last_member", a.lastMember).Str("primary", primary).
		Stringer("after", a.minPosition).Dur("accepted_age", a.maxStaleness).Bool("gave_up_waiting", a.gaveUpWaiting).
		Dur("elapsed", elapsed.Round(time.Microsecond)).Dur("time_left", time.Until(a.deadline).Round(time.Microsecond)).
		Uint64("version", a.session.Directory.Version()).Msg("statement_ended")
}
