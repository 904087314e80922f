package labjournal_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labjournal"
)

// journalState holds the results of Journal.Load.
type journalState struct {
	state    lab.HardState
	snapshot lab.LogSnapshot
	entries  []lab.LogEntry
}

func (s journalState) String() string {
	return fmt.Sprintf("%v", [...]any{s.state, s.snapshot, s.entries})
}

func load(t *testing.T, j *labjournal.Journal) journalState {
	t.Helper()

	s, n, e, err := j.Load()
	assert.NilError(t, err)

	return journalState{s, n, e}
}

func entries(term uint64, indexes ...uint64) []lab.LogEntry {
	e := make([]lab.LogEntry, 0, len(indexes))
	for _, i := range indexes {
		e = append(e, lab.LogEntry{Index: i, Term: term, Data: []byte(fmt.Sprintf("entry %d of %d", i, term))})
	}

	return e
}

func snapshot(index, term uint64) lab.LogSnapshot {
	return lab.LogSnapshot{
		Index: index, Term: term, Voters: []lab.InstanceID{"a", "b"}, Learners: []lab.InstanceID{"c"}, Data: []byte("data"),
	}
}

// workload returns a list of calls that covers every kind of write.
func workload(j *labjournal.Journal) []func() error {
	state := func(term uint64, voted lab.InstanceID) func() error {
		return func() error { return j.SaveState(lab.HardState{Term: term, VotedFor: voted}) }
	}
	appendEntries := func(e []lab.LogEntry) func() error { return func() error { return j.Append(e) } }
	saveSnapshot := func(s lab.LogSnapshot) func() error { return func() error { return j.SaveSnapshot(s) } }

	return []func() error{
		state(1, "a"), appendEntries(entries(1, 1, 2, 3)), state(2, ""), appendEntries(entries(2, 3, 4, 5, 6)),
		saveSnapshot(snapshot(4, 2)), state(3, "b"), appendEntries(entries(3, 6, 7)), appendEntries(entries(3, 8)),
		saveSnapshot(snapshot(20, 5)), appendEntries(entries(5, 21)),
	}
}

// expectedStates returns the stored state before each call of the workload and after the last call.
func expectedStates(t *testing.T) []string {
	t.Helper()

	d := newCrashFileSystem()
	j := &labjournal.Journal{Folder: "j", FileSystem: d}
	steps := workload(j)
	all := make([]string, 1, len(steps)+1)
	all[0] = load(t, j).String()

	for _, w := range steps {
		assert.NilError(t, w())
		all = append(all, load(t, &labjournal.Journal{Folder: "j", FileSystem: d.restart(keepWritten)}).String())
	}

	return all
}

// Guards against a journal that loses stored data, keeps replaced entries or returns different data.
func TestStored(t *testing.T) {
	d := t.TempDir()
	j := &labjournal.Journal{Folder: filepath.Join(d, "new", "journal")}
	load(t, j)

	for _, w := range workload(j)[:8] {
		assert.NilError(t, w())
	}

	assert.NilError(t, j.Close())

	want := journalState{
		lab.HardState{Term: 3, VotedFor: "b"},
		snapshot(4, 2),
		slices.Concat(entries(2, 5), entries(3, 6, 7, 8)),
	}
	reopened := &labjournal.Journal{Folder: j.Folder}
	assert.DeepEqual(t, load(t, reopened).String(), want.String())
	assert.ErrorContains(t, j.SaveState(lab.HardState{}), "not loaded")

	t.Run("second process", func(t *testing.T) {
		_, _, _, err := j.Load()
		assert.ErrorContains(t, err, "lock folder")
	})

	t.Run("gap", func(t *testing.T) {
		assert.ErrorContains(t, reopened.Append(entries(3, 10)), "does not follow")
		assert.ErrorContains(t, reopened.Append(entries(3, 4)), "does not follow")
		assert.ErrorContains(t, reopened.SaveSnapshot(snapshot(3, 2)), "older")
	})
}

// Guards against entries that stay in the journal although they conflict with a received snapshot.
func TestConflictingSuffix(t *testing.T) {
	j := &labjournal.Journal{Folder: t.TempDir()}
	load(t, j)
	assert.NilError(t, j.Append(entries(1, 1, 2, 3, 4)))
	assert.NilError(t, j.SaveSnapshot(snapshot(3, 2)))
	assert.NilError(t, j.Close())
	assert.Equal(t, len(load(t, &labjournal.Journal{Folder: j.Folder}).entries), 0)
}

// crashLosses lists the tested outcomes of a crash.
var (
	keepWritten = crashLoss{content: func(_, written []byte) []byte { return written }}
	keepSynced  = crashLoss{losesNames: true, content: func(synced, _ []byte) []byte { return synced }}
	crashLosses = map[string]crashLoss{
		"synced only":               keepSynced,
		"everything written":        keepWritten,
		"synced content, all names": {false, keepSynced.content},
		"half":                      {false, keepHalf},
		"half, old names":           {true, keepHalf},
		"garbled":                   {false, overwrite(7, 0xff)},
		"zeroed":                    {false, overwrite(1, 0)},
	}
)

func keepHalf(synced, written []byte) []byte {
	if len(written) < len(synced) {
		return written
	}

	return written[:(len(synced)+len(written))/2]
}

// overwrite returns a content function that replaces every n-th unsynced byte.
func overwrite(n int, value byte) func(synced, written []byte) []byte {
	return func(synced, written []byte) []byte {
		b := slices.Clone(written)
		for i := len(synced); i < len(b); i += n {
			b[i] = value
		}

		return b
	}
}

// Guards against losing a synced write, or loading only part of a write, after a crash at any operation.
func TestCrashAtEveryOperation(t *testing.T) {
	want := expectedStates(t)

	for name, l := range crashLosses {
		t.Run(name, func(t *testing.T) {
			for at := 1; crashOnce(t, want, l, at, false) && crashOnce(t, want, l, at, true); at++ {
				assert.Assert(t, at < 1000)
			}
		})
	}
}

// crashOnce runs the workload until a crash at the given operation and checks the recovered state. It returns false
// when the workload ended before that operation.
func crashOnce(t *testing.T, want []string, l crashLoss, at int, takesEffect bool) bool {
	t.Helper()

	d := newCrashFileSystem()
	d.crashAt, d.takesEffect = at, takesEffect
	j := &labjournal.Journal{Folder: "j", FileSystem: d}
	completed := 0

	if _, _, _, err := j.Load(); err == nil {
		for _, w := range workload(j) {
			if err := w(); err != nil {
				assert.Assert(t, errors.Is(err, errCrash))

				break
			}
			completed++
		}
	}

	after := d.restart(l)
	recovered := &labjournal.Journal{Folder: "j", FileSystem: after}
	got := load(t, recovered).String()
	ok := got == want[completed] || (completed+1 < len(want) && got == want[completed+1])
	assert.Assert(t, ok, "crash at %d (%v) after %d calls: %s", at, takesEffect, completed, got)

	// The recovered journal must accept writes, and the state that it loaded must not depend on unsynced data.
	assert.NilError(t, recovered.SaveState(lab.HardState{Term: 99}))

	again := &labjournal.Journal{Folder: "j", FileSystem: after.restart(keepSynced)}
	assert.Equal(t, load(t, again).state.Term, uint64(99))

	return d.operations >= at
}

// Guards against loading records that a later crash can lose. A killed process may have written records without a sync,
// so Load must sync them.
func TestLoadSyncs(t *testing.T) {
	d := newCrashFileSystem()
	j := &labjournal.Journal{Folder: "j", FileSystem: d}
	load(t, j)
	d.crashAt = d.operations + 2 // fails the sync after the write
	assert.ErrorIs(t, j.SaveState(lab.HardState{Term: 7}), errCrash)

	d.crashAt = 0
	assert.Equal(t, load(t, &labjournal.Journal{Folder: "j", FileSystem: d}).state.Term, uint64(7))

	after := d.restart(keepSynced)
	assert.Equal(t, load(t, &labjournal.Journal{Folder: "j", FileSystem: after}).state.Term, uint64(7))
}

// Guards against accepting damaged records. Every changed byte must be reported with the file and the offset of its
// record. Only a changed byte in the last record is not reported, because that record is truncated like a torn record.
func TestEveryChangedByte(t *testing.T) {
	folder := t.TempDir()
	j := &labjournal.Journal{Folder: folder}
	load(t, j)

	path := filepath.Join(folder, "journal-0000000000000001.log")
	starts := make([]int64, 1, 5) // the base record begins at offset 0

	for _, w := range workload(j)[:4] {
		s, err := os.Stat(path)
		assert.NilError(t, err)
		starts = append(starts, s.Size())
		assert.NilError(t, w())
	}

	assert.NilError(t, j.Close())
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)

	for i := range whole {
		b := slices.Clone(whole)
		b[i] ^= 0x55
		assert.NilError(t, os.WriteFile(path, b, 0o600))

		damaged := &labjournal.Journal{Folder: folder}
		_, _, got, err := damaged.Load()
		assert.NilError(t, damaged.Close())

		if int64(i) >= starts[len(starts)-1] {
			assert.NilError(t, err)
			assert.Equal(t, len(got), 3, "byte %d", i)

			continue
		}

		n := 0
		for n+1 < len(starts) && starts[n+1] <= int64(i) {
			n++
		}

		var e *labjournal.DamageError

		assert.Assert(t, errors.As(err, &e), "byte %d: %v", i, err)
		assert.Equal(t, e.File, path)
		assert.Equal(t, e.Offset, starts[n], "byte %d", i)
	}
}

// Guards against a torn record, of any length, that prevents the journal from loading.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	j := &labjournal.Journal{Folder: folder}
	load(t, j)
	assert.NilError(t, j.SaveState(lab.HardState{Term: 1}))

	path := filepath.Join(folder, "journal-0000000000000001.log")
	first, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, j.Append(entries(1, 1, 2)))
	assert.NilError(t, j.Close())

	whole, err := os.ReadFile(path)
	assert.NilError(t, err)

	for n := len(first); n < len(whole); n++ {
		assert.NilError(t, os.WriteFile(path, whole[:n], 0o600))

		torn := &labjournal.Journal{Folder: folder}
		got := load(t, torn)
		assert.Equal(t, got.state.Term, uint64(1))
		assert.Equal(t, len(got.entries), 0)

		assert.NilError(t, torn.Append(entries(2, 1)))
		assert.NilError(t, torn.Close())
		assert.Equal(t, len(load(t, torn).entries), 1)
		assert.NilError(t, torn.Close())
	}
}

// Guards against writing a record after one whose sync failed. A torn record that is followed by another record counts
// as damage.
func TestFailedSync(t *testing.T) {
	d := newCrashFileSystem()
	j := &labjournal.Journal{Folder: "j", FileSystem: d}
	load(t, j)
	d.crashAt, d.failsOnce = d.operations+2, true
	assert.ErrorIs(t, j.SaveState(lab.HardState{Term: 7}), errCrash)
	assert.ErrorContains(t, j.SaveState(lab.HardState{Term: 8}), "earlier write failed")
	assert.ErrorContains(t, j.SaveSnapshot(snapshot(1, 1)), "earlier write failed")
}
