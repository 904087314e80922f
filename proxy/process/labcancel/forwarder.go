package labcancel

import (
	"context"
	"expvar"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labsession"
)

// Forwarder forwards cancel requests to other proxies, and handles the cancel requests that other proxies forward. Its
// fields are set before use.
type Forwarder struct {
	Self    lab.Instance
	Proxies func() []lab.Instance // returns the live proxies
	Peers   lab.PeerClient
	Keys    *labsession.CancelKeys // cancel keys of this proxy's sessions
	Log     zerolog.Logger

	// NotFound counts forwarded cancel requests for which no proxy had the session.
	NotFound expvar.Int
}

// response is the response of lab.MethodCancel.
type response struct {
	Found bool `msgpack:"f"`
}

// Forward sends a cancel request to every other proxy that has the proxy number in the cancel key. There may be
// several, because two proxies can have the same number. Forward is used as labsession.Server.ForwardCancel.
func (f *Forwarder) Forward(ctx context.Context, proxyNumber uint32, key labsession.CancelKey) {
	var (
		group sync.WaitGroup
		found = make(chan struct{}, 1)
	)

	for _, i := range f.Proxies() {
		if i.ID == f.Self.ID || labsession.ProxyNumber(i.ID) != proxyNumber {
			continue
		}

		group.Go(func() {
			if f.callProxy(ctx, i, key) {
				select {
				case found <- struct{}{}:
				default:
				}
			}
		})
	}

	group.Wait()

	if len(found) == 0 {
		f.NotFound.Add(1)
	}
}

func (f *Forwarder) callProxy(ctx context.Context, proxy lab.Instance, key labsession.CancelKey) bool {
	var r response
	if err := f.Peers.Call(ctx, proxy.Address, lab.MethodCancel, &key, &r); err != nil {
		f.Log.Warn().Err(err).Str("proxy", string(proxy.ID)).Msg("cancel_not_forwarded")

		return false
	}

	return r.Found
}

// Handle cancels the running statement of one of this proxy's sessions. It is the lab.CallHandler of lab.MethodCancel.
func (f *Forwarder) Handle(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var key labsession.CancelKey
	if err := decode(&key); err != nil {
		return nil, errors.Newf("decode cancel request: %w", err)
	}

	return &response{Found: f.Keys.Cancel(key)}, nil
}
