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

// Cancels passes cancel requests between proxies; its fields are set before use.
type Cancels struct {
	Self    lab.Instance
	Proxies func() []lab.Instance // live proxies
	Peers   lab.Peers
	Keys    *labsession.CancelKeys // of this proxy's sessions
	Log     zerolog.Logger

	// Lost counts forwarded cancel requests that found no session at any proxy.
	Lost expvar.Int
}

// answer is the response of lab.MethodCancel.
type answer struct {
	Found bool `msgpack:"f"`
}

// Forward calls every other proxy with the number of the key, since proxies may share a number. It implements
// labsession.Server.ForwardCancel.
func (c *Cancels) Forward(ctx context.Context, proxy uint32, key labsession.CancelKey) {
	var (
		group sync.WaitGroup
		found = make(chan struct{}, 1)
	)

	for _, i := range c.Proxies() {
		if i.ID == c.Self.ID || labsession.ProxyNumber(i.ID) != proxy {
			continue
		}

		group.Go(func() {
			if c.call(ctx, i, key) {
				select {
				case found <- struct{}{}:
				default:
				}
			}
		})
	}

	group.Wait()

	if len(found) == 0 {
		c.Lost.Add(1)
	}
}

func (c *Cancels) call(ctx context.Context, proxy lab.Instance, key labsession.CancelKey) bool {
	var a answer
	if err := c.Peers.Call(ctx, proxy.Address, lab.MethodCancel, &key, &a); err != nil {
		c.Log.Warn().Err(err).Str("proxy", string(proxy.ID)).Msg("cancel_not_forwarded")

		return false
	}

	return a.Found
}

// Handle cancels what a session of this proxy runs; it is the lab.CallHandler of lab.MethodCancel.
func (c *Cancels) Handle(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var key labsession.CancelKey
	if err := decode(&key); err != nil {
		return nil, errors.Newf("decode cancel request: %w", err)
	}

	return &answer{Found: c.Keys.Cancel(key)}, nil
}
