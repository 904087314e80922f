package labjournal

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// The name of a journal file consists of the prefix, the generation in hexadecimal and a suffix.
const (
	filePrefix = "journal-"
	fileSuffix = ".log"
	tempSuffix = ".tmp"
)

var errNotLoaded = errors.New("journal is not loaded")

// Journal implements lab.Journal in one folder. Load must be called first, and methods must not be called concurrently.
type Journal struct {
	Folder     string
	FileSystem FileSystem // nil for the file system of the operating system

	content    content
	generation uint64 // generation of the current file
	sequence   uint64 // sequence number of the last record in the current file
	file       File
	lock       io.Closer
	writeErr   error // error of the first failed write, after which the state of the file is unknown
}

var _ lab.Journal = (*Journal)(nil)

// SaveState stores the term and the vote.
func (j *Journal) SaveState(state lab.HardState) error {
	if err := j.write(tagState, state); err != nil {
		return errors.Newf("save state: %w", err)
	}

	j.content.state = state

	return nil
}

// Append removes the stored entries from the index of the first given entry on, then stores the given entries.
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

// SaveSnapshot stores a snapshot and drops the entries that it covers. It keeps the later entries only if the stored
// log contains the last entry that the snapshot covers.
func (j *Journal) SaveSnapshot(snapshot lab.LogSnapshot) error {
	if err := j.checkReady(); err != nil {
		return errors.Newf("save snapshot: %w", err)
	}

	if snapshot.Index < j.content.snapshot.Index {
		return errors.Newf("snapshot %d is older than stored snapshot %d", snapshot.Index, j.content.snapshot.Index)
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

// Close closes the current file and unlocks the folder.
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

// checkReady returns an error when the journal is not loaded or an earlier write failed.
func (j *Journal) checkReady() error {
	if j.writeErr != nil {
		return errors.Newf("earlier write failed: %w", j.writeErr)
	}

	if j.file == nil {
		return errNotLoaded
	}

	return nil
}

// write appends a record and syncs the file. A failed write is not retried, because the kernel may drop the data when a
// sync fails.
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

// startGeneration creates the file of the next generation with the content as its base record, and makes it the current
// file.
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
		return errors.Newf("create journal file: %w", err)
	}

	if err := writeSynced(f, encodeRecord(1, p)); err != nil {
		return errors.Join(err, f.Close())
	}

	if err := j.fileSystem().Rename(j.path(tempSuffix), j.path(fileSuffix)); err != nil {
		return errors.Join(errors.Newf("rename journal file: %w", err), f.Close())
	}

	if err := j.fileSystem().SyncFolder(j.Folder); err != nil {
		return errors.Join(errors.Newf("sync folder: %w", err), f.Close())
	}

	j.content, j.file, j.sequence = c, f, 1

	return nil
}

// path returns the path of the current generation's file with the given suffix.
func (j *Journal) path(suffix string) string {
	return filepath.Join(j.Folder, fmt.Sprintf("%s%016x%s", filePrefix, j.generation, suffix))
}

func (j *Journal) fileSystem() FileSystem {
	if j.FileSystem == nil {
		return osFileSystem{}
	}

	return j.FileSystem
}
