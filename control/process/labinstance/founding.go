package labinstance

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	methodFounding lab.Method = "founding"
	foundingPause             = 50 * time.Millisecond
)

// ErrGroupExists is returned by an instance that would found a group although a peer already takes part in one.
var ErrGroupExists = errors.New("a control group already exists")

var errNotReady = errors.New("instance is still starting")

// founding asks the peers before an instance with an empty data folder takes part in the first election: its name may
// have voted before its disk was lost.
type founding struct {
	incarnation uint64

	lock     sync.Mutex
	asking   bool                      // this instance has no log and still asks its peers
	admitted map[lab.InstanceID]uint64 // lives that asked while this instance had no log; they may finish founding later
}

type foundingRequest struct {
	Incarnation uint64 `msgpack:"i"`
}

type foundingAnswer struct {
	Group bool `msgpack:"g"` // the answering instance takes part in a group that holds an election or a log
}

// found waits until every peer has answered, since a single silent one could hold changes that this instance
// acknowledged before it lost its disk.
func (i *Instance) found(ctx context.Context) error {
	i.founding.ask(true)
	defer i.founding.ask(false)

	for _, p := range i.Settings.Peers {
		if p.Instance == i.Settings.Instance {
			continue
		}

		group, err := i.askPeer(ctx, p.ProcessAddress, p.Instance)
		if err != nil {
			return err
		}

		if group {
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
		var a foundingAnswer

		if i.callFounding(ctx, address, &a) == nil {
			return a.Group, nil
		}

		select {
		case <-ctx.Done():
			return false, errors.Newf("wait for answer of %s: %w", name, ctx.Err())
		case <-time.After(foundingPause):
		}
	}
}

func (i *Instance) callFounding(ctx context.Context, address string, answer *foundingAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	return i.transport.Call(ctx, address, methodFounding, foundingRequest{i.founding.incarnation}, answer)
}

func (i *Instance) handleFounding(_ context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
	if _, ok := i.server.ControlAddress(from); !ok {
		// A removed name must be refused, not left waiting.
		return foundingAnswer{Group: true}, nil
	}

	var r foundingRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	known := len(i.group.Members().Instances()) > 0
	started := i.group.Leadership().Term > 0 || i.group.Applied() > 0

	return i.founding.answer(from, r.Incarnation, known, started)
}

func (f *founding) ask(asking bool) {
	f.lock.Lock()
	defer f.lock.Unlock()

	f.asking = asking
}

// answer admits every life that asks before this instance has voted or stored an entry.
func (f *founding) answer(from lab.InstanceID, incarnation uint64, known, started bool) (foundingAnswer, error) {
	f.lock.Lock()
	defer f.lock.Unlock()

	if !known && !f.asking {
		return foundingAnswer{}, errNotReady
	}

	if known && started {
		return foundingAnswer{Group: f.admitted[from] != incarnation}, nil
	}

	if f.admitted == nil {
		f.admitted = map[lab.InstanceID]uint64{}
	}

	f.admitted[from] = incarnation

	return foundingAnswer{}, nil
}
