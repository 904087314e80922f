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
func (k *Controller) persist(ctx context.Context) error {
	var members, proxies uint64

	for k.Clock.Sleep(ctx, persistInterval) == nil {
		if r := k.registry.Revision(); r != members && k.storeList(membersFile, k.members()) {
			members = r
		}

		if r := k.proxies.removeSilent(); r != proxies && k.storeList(proxiesFile, k.proxies.list()) {
			proxies = r
		}
	}

	return nil
}

func (k *Controller) storeList(file string, list any) bool {
	b, err := msgpack.Marshal(list)
	if err == nil {
		err = replaceFile(k.DataFolder, file, b)
	}

	if err != nil {
		k.Log.Warn().Err(err).Str("file", file).Msg("list_not_stored")
	}

	return err == nil
}

// loadLists takes the stored members and proxies as if they had just been heard.
func (k *Controller) loadLists() {
	var (
		members []lab.Announcement
		proxies []lab.Instance
	)

	k.loadList(membersFile, &members)
	k.loadList(proxiesFile, &proxies)

	for _, a := range members {
		k.registry.Apply(a, 0)
	}

	k.proxies.mergeInherited(proxies)
	k.Log.Info().Int("members", len(members)).Int("proxies", len(proxies)).Msg("lists_recalled")
}

func (k *Controller) loadList(file string, list any) {
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
