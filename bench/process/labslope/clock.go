package labslope

import (
	"context"
	"sync/atomic"
	"time"
)

// simulatedClock is a clock whose time changes only when advance is called. Sleep returns immediately.
type simulatedClock struct{ now atomic.Int64 }

func (c *simulatedClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *simulatedClock) Wall() time.Time { return time.UnixMilli(0).Add(c.Now()) }

func (c *simulatedClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func (c *simulatedClock) advance(d time.Duration) { c.now.Add(int64(d)) }
