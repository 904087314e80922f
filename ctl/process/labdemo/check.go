package labdemo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/bench/process/labload"
	"laburnumlock.dev/lab/bench/request/labhistory"
)

// Timing of a check. Offsets are relative to the start of the load.
const (
	changeOffset       = time.Second
	killOffset         = 2 * time.Second
	restartOffset      = 6 * time.Second
	loadDuration       = 10 * time.Second
	checkTimeout       = 90 * time.Second
	activePollInterval = 20 * time.Millisecond
)

// ErrViolation is returned when a check finds that an invariant was violated or a limit was exceeded.
var ErrViolation = errors.New("the check found a broken invariant or an exceeded limit")

// Check starts the deployment and puts load on it. During the load it changes the configuration, kills the primary and
// restarts a proxy and a control instance. It prints the report as one line of JSON, and returns ErrViolation if an
// invariant was violated or a limit was exceeded.
func (d *Demo) Check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()

	deployment, cleanup, err := d.start(ctx)
	if err != nil {
		return err
	}

	defer cleanup()

	report, err := d.runLoad(ctx, deployment)
	if err = errors.CombineErrors(err, deployment.Stop()); err != nil {
		return err
	}

	if err := json.NewEncoder(d.Out).Encode(report); err != nil {
		return errors.Newf("write report: %w", err)
	}

	if !report.Passed() {
		return ErrViolation
	}

	return nil
}

func (d *Demo) runLoad(ctx context.Context, deployment *labdeployment.Deployment) (*Report, error) {
	l := &labload.Load{
		Addresses: deployment.ClientAddresses(), Organisation: Organisation, Password: Password,
		Databases: []string{Database}, Sessions: 12, Seed: d.Seed, ReadRate: 120, WriteRate: 30, BoundedStalenessPct: 50,
		ReadClass: readClass, IdempotentPct: 30, MovePct: 5,
	}
	if err := l.Prepare(ctx); err != nil {
		return nil, errors.Newf("prepare load: %w", err)
	}

	defer l.Close()

	r := &Report{Seed: d.Seed}

	var g errgroup.Group

	g.Go(func() error { return l.Run(ctx, loadDuration) })
	g.Go(func() error { return d.injectFaults(ctx, deployment, l, r) })

	if err := g.Wait(); err != nil {
		return nil, err
	}

	operations := l.History()
	final := append(deployment.FinalRows(labload.Table), deployment.FinalRows(labload.IdempotentTable)...)
	r.Counts = labhistory.Count(operations)
	r.Violations = labhistory.Check(operations, final)
	boundedStaleness, others := deployment.ReplicaShares(labload.BoundedStalenessMark)
	r.ReplicaShare = labdeployment.ReplicaShare{
		Reads:        boundedStaleness.Reads + others.Reads,
		ReplicaReads: boundedStaleness.ReplicaReads + others.ReplicaReads,
	}.Ratio()
	r.FailoverGapMS = labhistory.FailoverGap(operations, Database, r.primaryKilledAt).Milliseconds()

	t := &labhistory.Trace{Operations: operations, Final: final, Violations: r.Violations}

	return r, t.SaveFile(d.Trace)
}

// injectFaults changes the configuration, kills the primary, and restarts a proxy and a control instance, in this
// order.
func (d *Demo) injectFaults(ctx context.Context, deployment *labdeployment.Deployment, l *labload.Load, r *Report) error {
	begin := time.Now()

	sleepUntil(ctx, begin.Add(changeOffset))

	const limit = 321

	accepted, err := deployment.ChangeQueueLimit(ctx, limit)
	if err != nil {
		return errors.Newf("change configuration: %w", err)
	}

	if r.ActiveMS, err = waitActive(ctx, deployment, accepted); err != nil {
		return err
	}

	sleepUntil(ctx, begin.Add(killOffset))
	deployment.Group(Database).Primary().Kill()

	r.primaryKilledAt = l.Elapsed()

	sleepUntil(ctx, begin.Add(restartOffset))

	if err := deployment.RestartProxy(ctx, int(d.Seed%3)); err != nil {
		return err
	}

	if err := deployment.RestartControl(ctx, int(d.Seed/3%3)); err != nil {
		return err
	}

	queueLimit, err := deployment.QueueLimit(ctx)
	if err != nil {
		return errors.Newf("read configuration: %w", err)
	}

	if queueLimit != limit {
		r.Reverted++
	}

	return nil
}

func waitActive(ctx context.Context, deployment *labdeployment.Deployment, change string) (int64, error) {
	begin := time.Now()

	for {
		ok, err := deployment.IsActive(ctx, change)
		if err != nil {
			return 0, errors.Newf("look up change: %w", err)
		}

		if ok {
			return time.Since(begin).Milliseconds(), nil
		}

		sleepUntil(ctx, time.Now().Add(activePollInterval))

		if ctx.Err() != nil {
			return 0, errors.Newf("wait until the change is active: %w", ctx.Err())
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
