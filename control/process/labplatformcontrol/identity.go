package labplatformcontrol

import (
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labjournal"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	identityFile = "identity"
	// formerMemberFile is an empty file that identity.discard creates. It shows that the instance was a member of a group
	// before, so the instance never bootstraps a group again.
	formerMemberFile = "joined"
	journalName      = "journal"
	folderMode       = 0o700
	fileMode         = 0o600
)

// identity holds the id under which an instance votes. It is stored beside the journal, so that an instance that lost
// its disk returns with another id and can't vote twice.
type identity struct {
	folder       string
	id           lab.InstanceID
	initialVoter bool // the instance is one of the initial voters of the group
	fresh        bool // the identity was created in this run of the process
}

// openIdentity reads the identity from a data folder, or creates one. The id of an initial voter is its address alone,
// so that the initial voters know each other's ids. Any other id has a random suffix.
func openIdentity(folder, address string, newDeployment bool, random lab.Random) (*identity, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Newf("create data folder: %w", err)
	}

	i := &identity{folder: folder}

	b, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err == nil {
		i.id = lab.InstanceID(strings.TrimSpace(string(b)))
		i.initialVoter = i.id == lab.InstanceID(address)

		return i, nil
	}

	if !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Newf("read identity: %w", err)
	}

	if _, err := os.Stat(filepath.Join(folder, formerMemberFile)); err == nil {
		newDeployment = false
	}

	i.fresh, i.initialVoter, i.id = true, newDeployment, lab.InstanceID(address)

	if !newDeployment {
		var suffix [8]byte

		binary.BigEndian.PutUint64(suffix[:], random.Uint64())
		i.id += lab.InstanceID(labvoters.AddressSeparator + hex.EncodeToString(suffix[:]))
	}

	return i, i.store()
}

func (i *identity) store() error {
	return errors.Wrap(replaceFile(i.folder, identityFile, []byte(string(i.id)+"\n")), "store identity")
}

// replaceFile atomically replaces a file and makes the new content durable.
func replaceFile(folder, name string, content []byte) error {
	temporary := filepath.Join(folder, name+".new")

	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Newf("create file: %w", err)
	}

	if _, err := f.Write(content); err != nil {
		return errors.Newf("write file: %w", errors.Join(err, f.Close()))
	}

	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return errors.Newf("sync file: %w", err)
	}

	if err := os.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return errors.Newf("rename file: %w", err)
	}

	return syncFolder(folder)
}

// discard removes the identity and journal of an instance that is no longer a member of the group.
func (i *identity) discard() error {
	if err := replaceFile(i.folder, formerMemberFile, nil); err != nil {
		return errors.Newf("mark data folder as joined: %w", err)
	}

	if err := os.RemoveAll(i.journalFolder()); err != nil {
		return errors.Newf("remove journal: %w", err)
	}

	if err := os.Remove(filepath.Join(i.folder, identityFile)); err != nil {
		return errors.Newf("remove identity: %w", err)
	}

	return syncFolder(i.folder)
}

func (i *identity) journalFolder() string {
	return filepath.Join(i.folder, journalName)
}

func (i *identity) journal() *labjournal.Journal {
	return &labjournal.Journal{Folder: i.journalFolder()}
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Newf("open folder: %w", err)
	}

	return errors.Wrap(errors.Join(f.Sync(), f.Close()), "sync folder")
}
