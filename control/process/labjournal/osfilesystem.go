package labjournal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// osFileSystem is the FileSystem of the operating system.
type osFileSystem struct{}

func (osFileSystem) Lock(folder string) (io.Closer, error) {
	f, err := os.Open(folder)
	if err != nil {
		return nil, errors.Newf("open folder: %w", err)
	}

	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(errors.Newf("lock folder %s: %w", folder, err), f.Close())
	}

	return f, nil
}

func (d osFileSystem) MakeFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}

	parent := filepath.Dir(path)
	if parent != path {
		if err := d.MakeFolder(parent); err != nil {
			return err
		}
	}

	if err := os.Mkdir(path, 0o700); err != nil && !os.IsExist(err) {
		return errors.Newf("create folder: %w", err)
	}

	return d.SyncFolder(parent)
}

func (osFileSystem) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Newf("list folder: %w", err)
	}

	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}

	return names, nil
}

func (osFileSystem) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

func (osFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (osFileSystem) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

func (osFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

func (osFileSystem) Remove(path string) error {
	return os.Remove(path)
}

func (osFileSystem) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Newf("open folder: %w", err)
	}

	if err := f.Sync(); err != nil {
		return errors.Join(errors.Newf("sync folder: %w", err), f.Close())
	}

	return f.Close()
}
