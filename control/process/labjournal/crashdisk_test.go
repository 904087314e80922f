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

// inode is a file's content and the part of it that was synced.
type inode struct{ data, synced []byte }

// crashDisk is a file system in memory that stops at a given operation and can then lose what was not synced.
type crashDisk struct {
	names, durable map[string]*inode
	operations     int
	crashAt        int  // number of the operation that fails, 0 for none
	performs       bool // the failing operation still takes effect
	recovers       bool // only one operation fails
}

func newCrashDisk() *crashDisk {
	return &crashDisk{names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (d *crashDisk) step(effect func()) error {
	d.operations++
	if d.crashAt == 0 || d.operations < d.crashAt || (d.recovers && d.operations > d.crashAt) {
		effect()

		return nil
	}

	if d.operations == d.crashAt && d.performs {
		effect()
	}

	return errCrash
}

// loss says what a crash leaves of unsynced data.
type loss struct {
	names bool                                // unsynced names are lost
	tail  func(synced, written []byte) []byte // content left of a file
}

func (d *crashDisk) restart(l loss) *crashDisk {
	from := d.names
	if l.names {
		from = d.durable
	}

	n := newCrashDisk()

	for name, i := range from {
		b := slices.Clone(l.tail(i.synced, i.data))
		n.names[name] = &inode{b, slices.Clone(b)}
	}

	n.durable = maps.Clone(n.names)

	return n
}

func (d *crashDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *crashDisk) MakeFolder(string) error { return d.step(func() {}) }

func (d *crashDisk) List(string) ([]string, error) {
	names := make([]string, 0, len(d.names))
	for n := range d.names {
		names = append(names, filepath.Base(n))
	}

	return names, d.step(func() {})
}

func (d *crashDisk) Read(path string) ([]byte, error) {
	i := d.names[path]
	if i == nil {
		return nil, errors.Newf("no file %s", path)
	}

	return slices.Clone(i.data), d.step(func() {})
}

func (d *crashDisk) Create(path string) (labjournal.File, error) {
	i := &inode{}
	err := d.step(func() { d.names[path] = i })

	return &crashFile{d, i}, err
}

func (d *crashDisk) Open(path string) (labjournal.File, error) {
	return &crashFile{d, d.names[path]}, d.step(func() {})
}

func (d *crashDisk) Rename(from, to string) error {
	return d.step(func() {
		d.names[to] = d.names[from]
		delete(d.names, from)
	})
}

func (d *crashDisk) Remove(path string) error {
	return d.step(func() { delete(d.names, path) })
}

func (d *crashDisk) SyncFolder(string) error {
	return d.step(func() { d.durable = maps.Clone(d.names) })
}

type crashFile struct {
	disk *crashDisk
	node *inode
}

func (f *crashFile) Write(b []byte) (int, error) {
	return len(b), f.disk.step(func() { f.node.data = append(f.node.data, b...) })
}

func (f *crashFile) Truncate(size int64) error {
	return f.disk.step(func() { f.node.data = f.node.data[:size] })
}

func (f *crashFile) Sync() error {
	return f.disk.step(func() { f.node.synced = slices.Clone(f.node.data) })
}

func (f *crashFile) Close() error { return nil }
