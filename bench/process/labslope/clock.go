package labslope

import (
	"context"
	"sync/atomic"
	"time"
)

// steppedClock moves only when it is advanced; sleeping returns at once.
type steppedClock struct{ now atomic.Int64 }

func (c *steppedClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *steppedClock) Wall() time.Time { return time.UnixMilli(0).Add(c.Now()) }

func (c *steppedClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func (c *steppedClock) advance(d time.Duration) { c.now.Add(int64(d)) }
