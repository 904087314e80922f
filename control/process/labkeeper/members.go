package labkeeper

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

const (
	membersFile = "members"
	// persistInterval bounds how many writes flapping members can cause.
	persistInterval = 500 * time.Millisecond
)

// persist keeps the members on disk, so that proxies needn't wait for everyone's next announcement after all control
// instances restarted. The file is a hint: members are checked by name when they are connected to.
func (k *Keeper) persist(ctx context.Context) error {
	var written uint64

	for k.Clock.Sleep(ctx, persistInterval) == nil {
		r := k.roster.Revision()
		if r == written {
			continue
		}

		if err := k.writeMembers(); err != nil {
			k.Log.Warn().Err(err).Msg("members_not_stored")

			continue
		}

		written = r
	}

	return nil
}

func (k *Keeper) writeMembers() error {
	b, err := msgpack.Marshal(k.members())
	if err != nil {
		return errors.Newf("encode members: %w", err)
	}

	return replaceFile(k.DataFolder, membersFile, b)
}

// recallMembers takes the stored members as if they had just announced themselves.
func (k *Keeper) recallMembers() {
	b, err := os.ReadFile(filepath.Join(k.DataFolder, membersFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}

	var all []lab.Announcement
	if err == nil {
		err = msgpack.Unmarshal(b, &all)
	}

	if err != nil {
		k.Log.Warn().Err(err).Msg("members_not_recalled")

		return
	}

	for _, a := range all {
		k.roster.Apply(a, 0)
	}

	k.Log.Info().Int("members", len(all)).Msg("members_recalled")
}
