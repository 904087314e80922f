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
	proxiesFile = "proxies"
	// persistInterval bounds how many writes flapping members can cause.
	persistInterval = 500 * time.Millisecond
)

// persist keeps the members and proxies on disk, so that after all control instances restarted nobody need wait for
// everyone's next announcement or watch. The files are hints: members are checked by name when they are connected to.
func (k *Keeper) persist(ctx context.Context) error {
	var members, proxies uint64

	for k.Clock.Sleep(ctx, persistInterval) == nil {
		if r := k.roster.Revision(); r != members && k.store(membersFile, k.members()) {
			members = r
		}

		if r := k.watchers.sweep(); r != proxies && k.store(proxiesFile, k.watchers.all()) {
			proxies = r
		}
	}

	return nil
}

func (k *Keeper) store(file string, list any) bool {
	b, err := msgpack.Marshal(list)
	if err == nil {
		err = replaceFile(k.DataFolder, file, b)
	}

	if err != nil {
		k.Log.Warn().Err(err).Str("file", file).Msg("list_not_stored")
	}

	return err == nil
}

// recall takes the stored members and proxies as if they had just been heard.
func (k *Keeper) recall() {
	var (
		members []lab.Announcement
		proxies []lab.Instance
	)

	k.load(membersFile, &members)
	k.load(proxiesFile, &proxies)

	for _, a := range members {
		k.roster.Apply(a, 0)
	}

	k.watchers.inherit(proxies)
	k.Log.Info().Int("members", len(members)).Int("proxies", len(proxies)).Msg("lists_recalled")
}

func (k *Keeper) load(file string, list any) {
	b, err := os.ReadFile(filepath.Join(k.DataFolder, file))
	if errors.Is(err, os.ErrNotExist) {
		return
	}

	if err == nil {
		err = msgpack.Unmarshal(b, list)
	}

	if err != nil {
		k.Log.Warn().Err(err).Str("file", file).Msg("list_not_recalled")
	}
}
