package labinstance

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	methodBootstrap     lab.Method = "founding"
	bootstrapRetryDelay            = 50 * time.Millisecond
)

// ErrGroupExists is returned by an instance that would bootstrap a new group although a peer already belongs to a
// group.
var ErrGroupExists = errors.New("a control group already exists")

var errNotReady = errors.New("instance is still starting")

// bootstrap decides whether an instance with an empty data folder may take part in the first election of a new group.
// The instance asks its peers first, because an instance of the same name may have voted before its disk was lost.
type bootstrap struct {
	incarnation uint64

	lock        sync.Mutex
	askingPeers bool // this instance has no log and is still asking its peers
	// admitted holds the incarnation of each peer that asked before the group had started, by instance id. In this
	// incarnation, the peer may finish its bootstrap even after the start.
	admitted map[lab.InstanceID]uint64
}

type bootstrapRequest struct {
	Incarnation uint64 `msgpack:"i"`
}

type bootstrapResponse struct {
	// GroupExists is true if the responding instance belongs to a group that has held an election or applied log entries.
	GroupExists bool `msgpack:"g"`
}

// checkBootstrap asks every peer and waits for each response. It fails with ErrGroupExists if a peer belongs to a
// group. No peer may be skipped, because each one could hold changes that this instance acknowledged before it lost its
// disk.
func (i *Instance) checkBootstrap(ctx context.Context) error {
	i.bootstrap.setAskingPeers(true)
	defer i.bootstrap.setAskingPeers(false)

	for _, p := range i.Settings.Peers {
		if p.Instance == i.Settings.Instance {
			continue
		}

		exists, err := i.askPeer(ctx, p.ProcessAddress, p.Instance)
		if err != nil {
			return err
		}

		if exists {
			return errors.Newf("%s has an empty data folder but peer %s reports: %w; give this instance a new name and "+
				"\"join\": true, run laburnumctl control add with the new name, then laburnumctl control remove %s",
				i.Settings.Instance, p.Instance, ErrGroupExists, i.Settings.Instance)
		}
	}

	return nil
}

func (i *Instance) askPeer(ctx context.Context, address, name string) (bool, error) {
	i.Logger.Info().Str("peer", name).Msg("founding_asks_peer")

	for {
		var a bootstrapResponse

		if i.callBootstrap(ctx, address, &a) == nil {
			return a.GroupExists, nil
		}

		select {
		case <-ctx.Done():
			return false, errors.Newf("wait for response of %s: %w", name, ctx.Err())
		case <-time.After(bootstrapRetryDelay):
		}
	}
}

func (i *Instance) callBootstrap(ctx context.Context, address string, response *bootstrapResponse) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	return i.transport.Call(ctx, address, methodBootstrap, bootstrapRequest{i.bootstrap.incarnation}, response)
}

func (i *Instance) handleBootstrap(_ context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
	if _, ok := i.server.ControlAddress(from); !ok {
		// Returns a refusal instead of an error, because a removed instance would repeat a failed call forever.
		return bootstrapResponse{GroupExists: true}, nil
	}

	var r bootstrapRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	membershipKnown := len(i.group.Membership().Instances()) > 0
	started := i.group.Leadership().Term > 0 || i.group.AppliedIndex() > 0

	return i.bootstrap.respond(from, r.Incarnation, membershipKnown, started)
}

func (b *bootstrap) setAskingPeers(asking bool) {
	b.lock.Lock()
	defer b.lock.Unlock()

	b.askingPeers = asking
}

// respond admits every incarnation that asks before this instance has voted or applied a log entry. Later it reports to
// every other incarnation that the group exists. It fails with errNotReady until this instance has read its journal.
func (b *bootstrap) respond(
	from lab.InstanceID, incarnation uint64, membershipKnown, started bool,
) (bootstrapResponse, error) {
	b.lock.Lock()
	defer b.lock.Unlock()

	if !membershipKnown && !b.askingPeers {
		return bootstrapResponse{}, errNotReady
	}

	if membershipKnown && started {
		return bootstrapResponse{GroupExists: b.admitted[from] != incarnation}, nil
	}

	if b.admitted == nil {
		b.admitted = map[lab.InstanceID]uint64{}
	}

	b.admitted[from] = incarnation

	return bootstrapResponse{}, nil
}
