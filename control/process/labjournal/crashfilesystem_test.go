package labjournal_test

import (
	"io"
	"maps"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/control/process/labjournal"
)

var errCrash = errors.New("crashed")

// inode holds the written content of a file and the content at the last sync.
type inode struct{ data, synced []byte }

// crashFileSystem is an in-memory file system that fails at a given operation, to simulate a crash. After the crash, it
// can lose data and names that were not synced.
type crashFileSystem struct {
	files, syncedFiles map[string]*inode
	operations         int
	crashAt            int  // number of the first operation that fails; 0 for none
	takesEffect        bool // the first failing operation still takes effect
	failsOnce          bool // operations after the first failing one succeed
}

func newCrashFileSystem() *crashFileSystem {
	return &crashFileSystem{files: map[string]*inode{}, syncedFiles: map[string]*inode{}}
}

func (d *crashFileSystem) perform(effect func()) error {
	d.operations++
	if d.crashAt == 0 || d.operations < d.crashAt || (d.failsOnce && d.operations > d.crashAt) {
		effect()

		return nil
	}

	if d.operations == d.crashAt && d.takesEffect {
		effect()
	}

	return errCrash
}

// crashLoss determines which unsynced data survives a crash.
type crashLoss struct {
	losesNames bool                                // unsynced creations, renames and removals are lost
	content    func(synced, written []byte) []byte // returns the content of a file after the crash
}

func (d *crashFileSystem) restart(l crashLoss) *crashFileSystem {
	surviving := d.files
	if l.losesNames {
		surviving = d.syncedFiles
	}

	n := newCrashFileSystem()

	for name, i := range surviving {
		b := slices.Clone(l.content(i.synced, i.data))
		n.files[name] = &inode{b, slices.Clone(b)}
	}

	n.syncedFiles = maps.Clone(n.files)

	return n
}

func (d *crashFileSystem) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *crashFileSystem) MakeFolder(string) error { return d.perform(func() {}) }

func (d *crashFileSystem) List(string) ([]string, error) {
	names := make([]string, 0, len(d.files))
	for n := range d.files {
		names = append(names, filepath.Base(n))
	}

	return names, d.perform(func() {})
}

func (d *crashFileSystem) Read(path string) ([]byte, error) {
	i := d.files[path]
	if i == nil {
		return nil, errors.Newf("no file %s", path)
	}

	return slices.Clone(i.data), d.perform(func() {})
}

func (d *crashFileSystem) Create(path string) (labjournal.File, error) {
	i := &inode{}
	err := d.perform(func() { d.files[path] = i })

	return &crashFile{d, i}, err
}

func (d *crashFileSystem) Open(path string) (labjournal.File, error) {
	return &crashFile{d, d.files[path]}, d.perform(func() {})
}

func (d *crashFileSystem) Rename(from, to string) error {
	return d.perform(func() {
		d.files[to] = d.files[from]
		delete(d.files, from)
	})
}

func (d *crashFileSystem) Remove(path string) error {
	return d.perform(func() { delete(d.files, path) })
}

func (d *crashFileSystem) SyncFolder(string) error {
	return d.perform(func() { d.syncedFiles = maps.Clone(d.files) })
}

type crashFile struct {
	disk *crashFileSystem
	node *inode
}

func (f *crashFile) Write(b []byte) (int, error) {
	return len(b), f.disk.perform(func() { f.node.data = append(f.node.data, b...) })
}

func (f *crashFile) Truncate(size int64) error {
	return f.disk.perform(func() { f.node.data = f.node.data[:size] })
}

func (f *crashFile) Sync() error {
	return f.disk.perform(func() { f.node.synced = slices.Clone(f.node.data) })
}

func (f *crashFile) Close() error { return nil }
