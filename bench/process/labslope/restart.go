package labslope

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labjournal"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/version/labcatalog"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labrandom"
)

const (
	maxConcurrentProposals = 64 // number of concurrent proposals, which share a sync of the journal
	// restartCount is the number of restarts. Their median time is reported, since a single time depends on the election
	// timeout and on other work of the machine.
	restartCount           = 5
	leadershipPollInterval = time.Millisecond
	leadershipTimeout      = 10 * time.Second
)

// consensusInstance is the consensus part of a control instance that is the only voter of its group.
type consensusInstance struct {
	catalog *labcatalog.Catalog
	journal *labjournal.Journal
	group   *labconsensus.Group
	cancel  context.CancelFunc
	done    chan error // receives the result of group.Run
}

func startConsensus(ctx context.Context, folder string) (*consensusInstance, error) {
	i := &consensusInstance{catalog: labcatalog.New(), journal: &labjournal.Journal{Folder: folder}, done: make(chan error, 1)}
	i.group = &labconsensus.Group{
		ID: controlID, InitialVoters: []lab.InstanceID{controlID}, Journal: i.journal, Clock: labclock.New(),
		Random: labrandom.New(), StateMachine: i.catalog, Send: func(lab.InstanceID, labreplica.Message) {},
	}

	ctx, i.cancel = context.WithCancel(ctx)

	go func() { i.done <- i.group.Run(ctx) }()

	deadline := time.Now().Add(leadershipTimeout)

	for !i.group.Leadership().IsLeader {
		if time.Now().After(deadline) {
			return nil, errors.CombineErrors(errors.New("instance did not become the leader before the timeout"), i.stop())
		}

		time.Sleep(leadershipPollInterval)
	}

	if err := i.group.Barrier(ctx); err != nil {
		return nil, errors.CombineErrors(err, i.stop())
	}

	return i, nil
}

func (i *consensusInstance) stop() error {
	i.cancel()

	return errors.CombineErrors(<-i.done, i.journal.Close())
}

func measureRestart(ctx context.Context, points []int, r *Report) error {
	r.Unit = "changes"
	r.Columns = []string{"ms to rebuild", "ms to lead", "journal B", "ms per change written"}
	r.addNote("%d organisations of one database each, changed in turn; one voter, a snapshot every %d entries.", fleetOrganisations, labconsensus.DefaultSnapshotEntries)
	r.addNote("Median of %d restarts of each kind.", restartCount)
	r.addNote("rebuild: load the journal, restore the snapshot, apply the entries after it. lead: from the start of the group until a barrier returns, with the election timeout.")

	r.addNote("The journal is in the folder for temporary files; the time of a sync depends on its file system.")

	for _, n := range points {
		if err := measureRestartTimes(ctx, n, r); err != nil {
			return err
		}
	}

	return nil
}

func measureRestartTimes(ctx context.Context, changes int, r *Report) error {
	folder, err := os.MkdirTemp("", "labslope")
	if err != nil {
		return errors.Newf("create journal folder: %w", err)
	}

	defer func() { _ = os.RemoveAll(folder) }()

	begin := time.Now()

	if err := writeChanges(ctx, folder, changes); err != nil {
		return err
	}

	writeTime := time.Since(begin)

	size, err := folderBytes(folder)
	if err != nil {
		return err
	}

	rebuildTime, err := medianOf(func() (time.Duration, error) { return rebuildCatalog(folder, changes) })
	if err != nil {
		return err
	}

	leadTime, err := medianOf(func() (time.Duration, error) { return restartConsensus(ctx, folder, changes) })
	if err != nil {
		return err
	}

	const thousand = 1000

	r.addPoint(changes, rebuildTime.Seconds()*thousand, leadTime.Seconds()*thousand, size, writeTime.Seconds()*thousand/float64(changes))

	return nil
}

func medianOf(measure func() (time.Duration, error)) (time.Duration, error) {
	var all []time.Duration

	for range restartCount {
		d, err := measure()
		if err != nil {
			return 0, err
		}

		all = append(all, d)
	}

	slices.Sort(all)

	return all[len(all)/2], nil
}

// restartConsensus returns the time from the start of the group until it is the leader and has applied every change.
func restartConsensus(ctx context.Context, folder string, changes int) (time.Duration, error) {
	begin := time.Now()

	i, err := startConsensus(ctx, folder)
	if err != nil {
		return 0, err
	}

	took := time.Since(begin)

	if v := i.catalog.Version(); v != uint64(changes) {
		err = errors.Newf("restarted with configuration version %d instead of %d", v, changes)
	}

	return took, errors.CombineErrors(err, i.stop())
}

// writeChanges commits changes to a new journal. The changes of one organisation are committed one after another,
// since each change states the version of the change before it.
func writeChanges(ctx context.Context, folder string, changes int) error {
	i, err := startConsensus(ctx, folder)
	if err != nil {
		return err
	}

	var g errgroup.Group

	g.SetLimit(maxConcurrentProposals)

	for o := range fleetOrganisations {
		g.Go(func() error {
			var base uint64

			for n := o; n < changes; n += fleetOrganisations {
				if base, err = i.proposeChange(ctx, n, o, base); err != nil {
					return err
				}
			}

			return nil
		})
	}

	return errors.CombineErrors(g.Wait(), i.stop())
}

func (i *consensusInstance) proposeChange(ctx context.Context, number, organisation int, base uint64) (uint64, error) {
	data, err := newOrganisationChange(number, organisation, base).Encode()
	if err != nil {
		return 0, err
	}

	response, err := i.group.Propose(ctx, data)
	if err != nil {
		return 0, errors.Newf("propose change %d: %w", number, err)
	}

	result, ok := response.(labcatalog.Result)
	if !ok || result.Response == nil || result.Response.Outcome != labcatalog.OutcomeAccepted {
		return 0, errors.Newf("change %d was not accepted: %+v", number, response)
	}

	return result.Response.Version, nil
}

// rebuildCatalog returns the time to rebuild the catalog from the journal as a starting control instance does, without
// an election.
func rebuildCatalog(folder string, changes int) (time.Duration, error) {
	begin := time.Now()
	j, c := &labjournal.Journal{Folder: folder}, labcatalog.New()

	_, snapshot, entries, err := j.Load()
	if err != nil {
		return 0, errors.Newf("load journal: %w", err)
	}

	if len(snapshot.Data) > 0 {
		if err := c.Restore(snapshot.Data); err != nil {
			return 0, errors.CombineErrors(err, j.Close())
		}
	}

	for _, e := range entries {
		if command, ok := labreplica.Command(e); ok && e.Index > snapshot.Index {
			c.Apply(e.Index, command)
		}
	}

	took := time.Since(begin)

	if c.Version() != uint64(changes) {
		return 0, errors.CombineErrors(errors.Newf("rebuilt configuration version %d instead of %d", c.Version(), changes), j.Close())
	}

	return took, errors.Wrap(j.Close(), "close journal")
}

func folderBytes(folder string) (float64, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, errors.Newf("list journal files: %w", err)
	}

	var total int64

	for _, e := range entries {
		i, err := os.Stat(filepath.Join(folder, e.Name()))
		if err != nil {
			return 0, errors.Newf("read size of journal file: %w", err)
		}

		total += i.Size()
	}

	return float64(total), nil
}
