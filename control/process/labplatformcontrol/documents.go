package labplatformcontrol

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/control/version/labgroupstate"
	"laburnumlock.dev/lab/process/labpack"
)

// forwardTimeout bounds a call that is forwarded to the leader. Operators and members try another instance after one
// second.
const forwardTimeout = 800 * time.Millisecond

// ErrInvalid is returned for a document that fails validation.
var ErrInvalid = errors.New("document is invalid")

// Put stores a document durably. It returns nil once the newest accepted document has the same or a higher version.
func (k *Controller) Put(ctx context.Context, source []byte) error {
	d, err := k.DocumentReader.Read(source)
	if err != nil {
		k.Log.Info().Err(err).Int("bytes", len(source)).Msg("document_refused")

		return errors.Mark(errors.Newf("read document: %w", err), ErrInvalid)
	}

	packed, err := labpack.Pack(source)
	if err != nil {
		return err
	}

	if k.Leading() {
		return k.putLeading(ctx, d.Version, packed)
	}

	l, ok := k.leader()
	if !ok {
		return lab.ErrNotLeader
	}

	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()

	err = k.Transport.Call(ctx, labvoters.Address(l), methodPut, putRequest{Version: d.Version, Packed: packed}, nil)

	return errors.Wrap(err, "forward document")
}

func (k *Controller) putLeading(ctx context.Context, version uint64, packed []byte) error {
	// A version that is not newer changes nothing. The leader still has to confirm its leadership: a superseded leader
	// might wrongly believe that it has the newest version.
	if k.participation().state.Document().Version >= version {
		return errors.Wrap(k.participation().group.Barrier(ctx), "confirm leadership for known version")
	}

	effect, err := k.propose(ctx, labgroupstate.Command{
		Document: &labgroupstate.Document{Version: version, Packed: packed},
	})
	if err != nil {
		return err
	}

	if taken, ok := effect.(bool); ok && taken {
		k.Counters.Documents.Add(1)
	}

	k.Log.Info().Uint64("version", version).Interface("in_force", effect).Msg("document_accepted")

	return nil
}

func (k *Controller) propose(ctx context.Context, c labgroupstate.Command) (any, error) {
	b, err := c.Encode()
	if err != nil {
		return nil, err
	}

	return k.participation().group.Propose(ctx, b)
}

// proposeInTerm proposes a command unless another instance may have led since the term.
func (k *Controller) proposeInTerm(ctx context.Context, term uint64, c labgroupstate.Command) (any, error) {
	b, err := c.Encode()
	if err != nil {
		return nil, err
	}

	return k.participation().group.ProposeInTerm(ctx, term, b)
}

func (k *Controller) handlePut(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r putRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	if !k.Leading() {
		return nil, lab.ErrNotLeader
	}

	return struct{}{}, k.putLeading(ctx, r.Version, r.Packed)
}

// Get returns the newest document and its version. It fails if this instance can't find out which document is the
// newest.
func (k *Controller) Get(ctx context.Context) (source []byte, version uint64, err error) {
	d, err := k.newestDocument(ctx)
	if err != nil || d.Version == 0 {
		return nil, 0, err
	}

	source, err = labpack.Unpack(d.Packed)

	return source, d.Version, err
}

// newestDocument returns the newest document. If this instance isn't the leader, it requests the document from the
// leader.
func (k *Controller) newestDocument(ctx context.Context) (labgroupstate.Document, error) {
	if k.Leading() {
		return k.getLeading(ctx)
	}

	l, ok := k.leader()
	if !ok {
		return labgroupstate.Document{}, lab.ErrNotLeader
	}

	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()

	var d labgroupstate.Document
	if err := k.Transport.Call(ctx, labvoters.Address(l), methodGet, struct{}{}, &d); err != nil {
		return labgroupstate.Document{}, errors.Newf("request document from leader: %w", err)
	}

	return d, nil
}

func (k *Controller) getLeading(ctx context.Context) (labgroupstate.Document, error) {
	if err := k.participation().group.Barrier(ctx); err != nil {
		return labgroupstate.Document{}, errors.Newf("confirm leadership for newest document: %w", err)
	}

	return k.participation().state.Document(), nil
}

func (k *Controller) handleGet(ctx context.Context, _ lab.InstanceID, _ func(any) error) (any, error) {
	if !k.Leading() {
		return nil, lab.ErrNotLeader
	}

	return k.getLeading(ctx)
}
