package labregistry

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

const (
	fileName       = "registry.snapshot"
	checksumBytes  = 8
	filePermission = 0o600
)

// snapshot is the content of the snapshot file after its checksum.
type snapshot struct {
	Clean              bool         `msgpack:"c"` // Close wrote the snapshot, and no entry was recorded later
	IntactIncarnations []uint64     `msgpack:"i"`
	Tables             []savedTable `msgpack:"b"`
}

type savedTable struct {
	Database      string                  `msgpack:"d"`
	CompleteEpoch uint64                  `msgpack:"e"`
	Placements    []lab.RegistryPlacement `msgpack:"k"`
	Entries       []savedEntry            `msgpack:"n"`
}

var errChecksum = errors.New("the registry snapshot is damaged")

// save writes a snapshot and returns after the file is synced to disk. The parameter clean is set when no entry is
// recorded after the snapshot.
func (r *Registry) save(clean bool) error {
	if r.Folder == "" {
		return nil
	}

	r.saveLock.Lock()
	defer r.saveLock.Unlock()

	s := snapshot{Clean: clean, IntactIncarnations: r.intactIncarnations}
	for i := range r.shards {
		s.Tables = append(s.Tables, r.saveShard(&r.shards[i])...)
	}

	return r.write(&s)
}

func (r *Registry) saveShard(s *shard) []savedTable {
	s.lock.Lock()

	tables := map[string]*entryTable{}
	for d, t := range s.tables {
		tables[d] = t
	}

	s.lock.Unlock()

	saved := make([]savedTable, 0, len(tables))

	for d, t := range tables {
		t.lock.Lock()
		now := r.Clock.Now()
		t.expire(now)
		entries, _ := t.page(now, "", len(t.entries))
		saved = append(saved, savedTable{d, t.completeEpoch, t.placements(), entries})
		t.lock.Unlock()
	}

	return saved
}

func (r *Registry) write(s *snapshot) error {
	body, err := msgpack.Marshal(s)
	if err != nil {
		return errors.Newf("encode registry snapshot: %w", err)
	}

	data := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(body)), xxhash.Sum64(body))
	path := filepath.Join(r.Folder, fileName)

	if err := writeSynced(path+".new", append(data, body...)); err != nil {
		return errors.Newf("write registry snapshot: %w", err)
	}

	if err := os.Rename(path+".new", path); err != nil {
		return errors.Newf("replace registry snapshot: %w", err)
	}

	folder, err := os.Open(r.Folder)
	if err != nil {
		return errors.Newf("open data folder: %w", err)
	}

	defer func() { _ = folder.Close() }()

	if err := folder.Sync(); err != nil {
		return errors.Newf("sync data folder: %w", err)
	}

	return nil
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermission)
	if err != nil {
		return errors.Newf("open file: %w", err)
	}

	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}

	if e := f.Close(); err == nil {
		err = e
	}

	if err != nil {
		return errors.Newf("write and sync file: %w", err)
	}

	return nil
}

// load restores the snapshot. A damaged snapshot is an error: starting without it would silently lose its entries.
func (r *Registry) load() error {
	if r.Folder == "" {
		return nil
	}

	data, err := os.ReadFile(filepath.Join(r.Folder, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}

	if err != nil {
		return errors.Newf("read registry snapshot: %w", err)
	}

	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return errChecksum
	}

	var s snapshot
	if err := msgpack.Unmarshal(data[checksumBytes:], &s); err != nil {
		return errors.Newf("decode registry snapshot: %w", err)
	}

	r.restore(&s)

	// Entries that are recorded from now on may be lost in a crash. The snapshot is therefore replaced by one that is
	// not marked as clean.
	return r.save(false)
}

func (r *Registry) restore(s *snapshot) {
	now := r.Clock.Now()

	if s.Clean {
		r.intactIncarnations = append(r.intactIncarnations, s.IntactIncarnations...)
	}

	for _, st := range s.Tables {
		t := r.table(st.Database)
		t.lock.Lock()
		t.merge(now, st.Entries)
		t.learnPlacements(now, st.Placements...)

		if s.Clean {
			t.completeEpoch = st.CompleteEpoch
		}

		t.lock.Unlock()
	}
}
