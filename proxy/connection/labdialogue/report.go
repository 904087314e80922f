package labdialogue

import (
	"time"

	"laburnumlock.dev/lab"
)

// report logs a statement that failed or missed the objective, with what decided it.
func (a *attempt) report(o lab.Operation, r lab.OperationResult) {
	elapsed := a.session.Clock.Now() - a.started
	late := a.route.TargetLatency > 0 && elapsed > a.route.TargetLatency

	if r.Fault == lab.FaultNone && !late {
		return
	}

	primary := ""
	if p, ok := a.session.Directory.Primary(a.route.Service); ok {
		primary = p.Member().Member
	}

	a.session.Log.Info().Str("request", o.RequestID).Str("database", a.session.Database).Str("service", a.route.Service).
		Uint8("kind", uint8(o.Kind)).Bool("writes", o.Writes).Bool("in_transaction", a.session.tx != nil).
		Stringer("fault", r.Fault).Str("detail", r.Detail).Stringer("refusal", a.last.Fault).
		Int("tries", a.tries).Str("last_member", a.at).Str("primary", primary).
		Stringer("after", a.after).Dur("accepted_age", a.aged).Bool("gave_up_waiting", a.hopeless).
		Dur("elapsed", elapsed.Round(time.Microsecond)).Dur("time_left", time.Until(a.deadline).Round(time.Microsecond)).
		Uint64("version", a.session.Directory.Version()).Msg("statement_ended")
}
