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

// ErrGroupExists is returned by an instance that would found a group although a peer already takes part in one.
var ErrGroupExists = errors.New("a control group already exists")

var errNotReady = errors.New("instance is still starting")

// bootstrap asks the peers before an instance with an empty data folder takes part in the first election: its name may
// have voted before its disk was lost.
type bootstrap struct {
	incarnation uint64

	lock        sync.Mutex
	askingPeers bool                      // this instance has no log and still asks its peers
	admitted    map[lab.InstanceID]uint64 // lives that asked while this instance had no log; they may finish founding later
}

type bootstrapRequest struct {
	Incarnation uint64 `msgpack:"i"`
}

type bootstrapResponse struct {
	GroupExists bool `msgpack:"g"` // the answering instance takes part in a group that holds an election or a log
}

// checkBootstrap waits until every peer has answered, since a single silent one could hold changes that this instance
// acknowledged before it lost its disk.
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
			return errors.Newf("%s has an empty data folder but %s answers: %w; give this instance a new name and "+
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
			return false, errors.Newf("wait for answer of %s: %w", name, ctx.Err())
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
		// A removed name must be refused, not left waiting.
		return bootstrapResponse{GroupExists: true}, nil
	}

	var r bootstrapRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	known := len(i.group.Members().Instances()) > 0
	started := i.group.Leadership().Term > 0 || i.group.Applied() > 0

	return i.bootstrap.respond(from, r.Incarnation, known, started)
}

func (b *bootstrap) setAskingPeers(asking bool) {
	b.lock.Lock()
	defer b.lock.Unlock()

	b.askingPeers = asking
}

// respond admits every life that asks before this instance has voted or stored an entry.
func (b *bootstrap) respond(from lab.InstanceID, incarnation uint64, known, started bool) (bootstrapResponse, error) {
	b.lock.Lock()
	defer b.lock.Unlock()

	if !known && !b.askingPeers {
		return bootstrapResponse{}, errNotReady
	}

	if known && started {
		return bootstrapResponse{GroupExists: b.admitted[from] != incarnation}, nil
	}

	if b.admitted == nil {
		b.admitted = map[lab.InstanceID]uint64{}
	}

	b.admitted[from] = incarnation

	return bootstrapResponse{}, nil
}
