package labjournal

import (
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Load locks the folder and returns the stored state. It truncates a torn last record and returns a DamageError for any
// other damage.
func (j *Journal) Load() (lab.HardState, lab.LogSnapshot, []lab.LogEntry, error) {
	if j.file != nil {
		return lab.HardState{}, lab.LogSnapshot{}, nil, errors.New("journal is already loaded")
	}

	if err := j.load(); err != nil {
		err = errors.Join(err, j.Close())

		return lab.HardState{}, lab.LogSnapshot{}, nil, errors.Newf("load journal: %w", err)
	}

	c := &j.content

	return c.state, c.snapshot, slices.Clone(c.entries), nil
}

func (j *Journal) load() error {
	if err := j.fileSystem().MakeFolder(j.Folder); err != nil {
		return err
	}

	lock, err := j.fileSystem().Lock(j.Folder)
	if err != nil {
		return err
	}

	j.lock = lock

	names, err := j.fileSystem().List(j.Folder)
	if err != nil {
		return err
	}

	j.generation = 0
	for _, n := range names {
		j.generation = max(j.generation, generationOf(n))
	}

	if j.generation == 0 {
		err = j.startGeneration(content{})
	} else {
		err = j.loadGeneration()
	}

	if err != nil {
		return err
	}

	return j.removeStaleFiles(names)
}

// generationOf returns the generation in the name of a journal file, or 0 when the name is not that of a journal file.
func generationOf(name string) uint64 {
	s, ok := strings.CutPrefix(name, filePrefix)
	if !ok {
		return 0
	}

	s, ok = strings.CutSuffix(s, fileSuffix)
	if !ok {
		return 0
	}

	g, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0
	}

	return g
}

// loadGeneration loads the file of the current generation. It also syncs the file and the folder, because a killed
// process may have written complete records or file names without a sync. Otherwise a later crash could lose loaded
// data that this process has already acted on.
func (j *Journal) loadGeneration() error {
	b, err := j.fileSystem().Read(j.path(fileSuffix))
	if err != nil {
		return errors.Newf("read journal file: %w", err)
	}

	size, err := j.scan(b)
	if err != nil {
		return err
	}

	f, err := j.fileSystem().Open(j.path(fileSuffix))
	if err != nil {
		return errors.Newf("open journal file: %w", err)
	}

	if err := j.makeDurable(f, int64(size), size < len(b)); err != nil {
		return errors.Join(err, f.Close())
	}

	j.file = f

	return nil
}

// makeDurable truncates a torn record at the end of the file and syncs the file and the folder.
func (j *Journal) makeDurable(f File, size int64, torn bool) error {
	if torn {
		if err := f.Truncate(size); err != nil {
			return errors.Newf("truncate torn record: %w", err)
		}
	}

	if err := f.Sync(); err != nil {
		return errors.Newf("sync journal file: %w", err)
	}

	return errors.Wrap(j.fileSystem().SyncFolder(j.Folder), "sync folder")
}

// scan applies the records of a file to the content and returns the size of the valid records in bytes.
func (j *Journal) scan(b []byte) (int, error) {
	j.content, j.sequence = content{}, 0
	offset := 0

	for offset < len(b) {
		s, p, err := decodeRecord(b[offset:])
		if err != nil && j.sequence > 0 && !containsLaterRecord(b[offset+1:], j.sequence+1) {
			return offset, nil
		}

		if err == nil && s != j.sequence+1 {
			err = errSequence
		}

		if err == nil {
			err = j.content.apply(s, p)
		}

		if err != nil {
			return 0, j.damageError(offset, err)
		}

		j.sequence = s
		offset += headerSize + len(p)
	}

	if j.sequence == 0 {
		return 0, j.damageError(0, errShort)
	}

	return offset, nil
}

func (j *Journal) damageError(offset int, err error) error {
	return &DamageError{File: j.path(fileSuffix), Offset: int64(offset), Err: err}
}

// removeStaleFiles removes files of older generations and temporary files.
func (j *Journal) removeStaleFiles(names []string) error {
	current := filepath.Base(j.path(fileSuffix))

	for _, n := range names {
		own := strings.HasPrefix(n, filePrefix) && (strings.HasSuffix(n, tempSuffix) || generationOf(n) > 0)
		if !own || n == current {
			continue
		}

		if err := j.fileSystem().Remove(filepath.Join(j.Folder, n)); err != nil {
			return errors.Newf("remove %s: %w", n, err)
		}
	}

	return nil
}
