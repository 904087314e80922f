package labplatformcontrol

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
	// persistInterval limits how often the files are written if members change their state rapidly.
	persistInterval = 500 * time.Millisecond
	// persistTimePerMember lengthens the interval for the list of members, which is written as a whole: 3,000 members that
	// appear one after the other are written every 3.5 s.
	persistTimePerMember = time.Millisecond
)

// persist stores the lists of members and proxies on disk. After a restart of all control instances, the leader then
// needn't wait for the next announcement of each member and the next watch of each proxy. The files may be outdated, so
// the name of a member is checked when a connection to it is opened.
func (k *Controller) persist(ctx context.Context) error {
	var (
		members, proxies uint64
		nextMembers      time.Duration
	)

	for k.Clock.Sleep(ctx, persistInterval) == nil {
		now := k.Clock.Now()
		if r := k.registry.Revision(); r != members && now >= nextMembers && k.storeList(membersFile, k.members()) {
			members, nextMembers = r, now+time.Duration(k.registry.Len())*persistTimePerMember
		}

		// A list that lacks proxies is not stored: the next leader would place all connections on those in it.
		if r := k.proxies.removeSilent(); r != proxies && k.proxyListKnown() && k.storeList(proxiesFile, k.proxies.list()) {
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

// loadLists loads the stored members and proxies and treats them as if they had just reported.
func (k *Controller) loadLists() {
	var (
		members []lab.Announcement
		proxies []lab.Instance
	)

	k.loadList(membersFile, &members)
	k.loadList(proxiesFile, &proxies)

	for _, a := range members {
		if err := a.Validate(); err != nil {
			k.Log.Warn().Err(err).Str("file", membersFile).Msg("announcement_invalid")

			continue
		}

		k.registry.Apply(a, 0)
	}

	k.proxies.mergeInherited(proxies, true)
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
