package labjournal

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Names of journal files: the prefix, the generation in hexadecimal and a suffix.
const (
	filePrefix = "journal-"
	fileSuffix = ".log"
	tempSuffix = ".tmp"
)

var errNotLoaded = errors.New("journal is not loaded")

// Journal implements lab.Journal in one folder. Load must be called first, and methods must not be called concurrently.
type Journal struct {
	Folder     string
	FileSystem FileSystem // the operating system's when nil

	content    content
	generation uint64
	sequence   uint64 // of the last record
	file       File
	lock       io.Closer
	writeErr   error // first failed write; the state of the file is unknown from then on
}

var _ lab.Journal = (*Journal)(nil)

// SaveState stores term and vote.
func (j *Journal) SaveState(state lab.HardState) error {
	if err := j.write(tagState, state); err != nil {
		return errors.Newf("save state: %w", err)
	}

	j.content.state = state

	return nil
}

// Append stores entries, first removing stored entries from the first one's index on.
func (j *Journal) Append(entries []lab.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}

	if err := j.content.checkEntries(entries); err != nil {
		return errors.Newf("append: %w", err)
	}

	if err := j.write(tagEntries, entries); err != nil {
		return errors.Newf("append: %w", err)
	}

	return j.content.replaceSuffix(entries)
}

// SaveSnapshot stores a snapshot and drops the entries it covers, and those after it unless the stored log contains
// the snapshot's entry.
func (j *Journal) SaveSnapshot(snapshot lab.LogSnapshot) error {
	if err := j.checkReady(); err != nil {
		return errors.Newf("save snapshot: %w", err)
	}

	if snapshot.Index < j.content.snapshot.Index {
		return errors.Newf("snapshot %d is older than the stored one of %d", snapshot.Index, j.content.snapshot.Index)
	}

	old, oldPath := j.file, j.path(fileSuffix)
	next := content{state: j.content.state, snapshot: snapshot, entries: j.content.entriesAfter(snapshot)}

	if err := j.startGeneration(next); err != nil {
		j.writeErr = err

		return errors.Newf("save snapshot: %w", err)
	}

	if err := errors.Join(old.Close(), j.fileSystem().Remove(oldPath)); err != nil {
		return errors.Newf("remove older journal file: %w", err)
	}

	return nil
}

// Close releases the files.
func (j *Journal) Close() error {
	var err error

	if j.file != nil {
		err = j.file.Close()
	}

	if j.lock != nil {
		err = errors.Join(err, j.lock.Close())
	}

	j.file, j.lock = nil, nil

	return errors.Wrap(err, "close journal")
}

func (j *Journal) checkReady() error {
	if j.writeErr != nil {
		return errors.Newf("earlier write failed: %w", j.writeErr)
	}

	if j.file == nil {
		return errNotLoaded
	}

	return nil
}

// write appends one synced record. After a failed sync the kernel may have dropped the data, so nothing is retried.
func (j *Journal) write(tag byte, value any) error {
	if err := j.checkReady(); err != nil {
		return err
	}

	p, err := encodePayload(tag, value)
	if err != nil {
		return err
	}

	if err := writeSynced(j.file, encodeRecord(j.sequence+1, p)); err != nil {
		j.writeErr = err

		return err
	}

	j.sequence++

	return nil
}

func writeSynced(f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return errors.Newf("write: %w", err)
	}

	return errors.Wrap(f.Sync(), "sync")
}

// startGeneration makes a file with the content as its base the journal's current file.
func (j *Journal) startGeneration(c content) error {
	p, err := encodePayload(tagBase, baseRecord{
		Version: formatVersion, Generation: j.generation + 1, State: c.state, Snapshot: c.snapshot, Entries: c.entries,
	})
	if err != nil {
		return err
	}

	j.generation++

	f, err := j.fileSystem().Create(j.path(tempSuffix))
	if err != nil {
		return errors.Newf("create: %w", err)
	}

	if err := writeSynced(f, encodeRecord(1, p)); err != nil {
		return errors.Join(err, f.Close())
	}

	if err := j.fileSystem().Rename(j.path(tempSuffix), j.path(fileSuffix)); err != nil {
		return errors.Join(errors.Newf("rename: %w", err), f.Close())
	}

	if err := j.fileSystem().SyncFolder(j.Folder); err != nil {
		return errors.Join(errors.Newf("sync folder: %w", err), f.Close())
	}

	j.content, j.file, j.sequence = c, f, 1

	return nil
}

func (j *Journal) path(suffix string) string {
	return filepath.Join(j.Folder, fmt.Sprintf("%s%016x%s", filePrefix, j.generation, suffix))
}

func (j *Journal) fileSystem() FileSystem {
	if j.FileSystem == nil {
		return osFileSystem{}
	}

	return j.FileSystem
}
