package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	stopMachine  = 1
	graceS       = 6 * time.Second
	rowBytes     = 1_000_000 // a row below the largest message of 1 MiB
	rowCount     = 8
	largeTimeout = 1500 * time.Millisecond // time limit of the route
	largeReaders = 3
	largePause   = 50 * time.Millisecond  // between two requests of a client
	largeStagger = 300 * time.Millisecond // between the first requests of the clients
)

// outcome is what became of one request.
type outcome struct {
	id       string
	sent     time.Time
	ended    time.Time
	received int // bytes of the answer that came
	err      error
}

// playStopCutsAnswer stops one proxy while clients receive large answers over links of 200 Mbit/s with small windows.
func playStopCutsAnswer(r *record, trouble bool) (string, error) {
	d, err := startServing(r, "primary", largeTimeout, newService(r, "svc1a", 5*time.Millisecond))
	if d != nil {
		defer d.stop()
	}

	if err != nil {
		return "", err
	}

	if err := storeLarge(d); err != nil {
		return "", err
	}

	l := link{receiveBuffer: 16 << 10, bytesPerSecond: 200_000_000 / 8}

	all, stopped, err := d.playClients(r, trouble, largeReaders, []string{"db-svc1a"}, "FETCH large", largePause, largeStagger, l)
	if err != nil {
		return "", err
	}

	cut := 0

	for _, o := range all {
		if cutAfterStop(o, stopped, largeTimeout) && o.received > 0 {
			cut++

			r.add("broken", "request=%s: %d bytes of the answer came, then the connection ended %d ms after SIGTERM, %d ms after it was sent",
				o.id, o.received, o.ended.Sub(stopped).Milliseconds(), o.ended.Sub(o.sent).Milliseconds())
		}
	}

	if cut == 0 {
		return "", nil
	}

	return fmt.Sprintf("LOST: %d answers were cut after SIGTERM, of %d requests", cut, len(all)), nil
}

// playClients lets clients send one request after the other to a proxy, which gets SIGTERM after three seconds, until a
// second after the grace time.
func (d *deployment) playClients(
	r *record, trouble bool, count int, databases []string, text string, pause, stagger time.Duration, l link,
) ([]outcome, time.Time, error) {
	var (
		mutex   sync.Mutex
		all     []outcome
		wait    sync.WaitGroup
		stopped time.Time
		err     error
	)

	done := make(chan struct{})

	for n := range count {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * stagger)

			c, err := dial(d.address(stopMachine, frontendPort), databases[n%len(databases)], l)
			if err != nil {
				r.add("client", "startup: %v", err)

				return
			}
			defer c.conn.Close()

			for {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}

				o := outcome{id: requestID(), sent: time.Now()}
				r.add("sent", "request=%s %s", o.id, text)

				var a answer
				a, o.received, o.err = c.query(o.id, text, 8*time.Second)
				o.ended = time.Now()
				r.add("answered", "request=%s after %d ms: %d bytes, complete=%q fault=%q error=%v",
					o.id, o.ended.Sub(o.sent).Milliseconds(), o.received, a.complete, a.fault, o.err)

				mutex.Lock()
				all = append(all, o)
				mutex.Unlock()

				if o.err != nil {
					return
				}
			}
		})
	}

	time.Sleep(3 * time.Second)

	if trouble {
		stopped, err = d.stopProxy(stopMachine)
	}

	time.Sleep(graceS + time.Second)
	close(done)
	wait.Wait()

	return all, stopped, err
}

// cutAfterStop reports whether the connection of a request ended without a whole answer between SIGTERM and a second after
// the grace time, before the time limit of the route.
func cutAfterStop(o outcome, stopped time.Time, timeout time.Duration) bool {
	return o.err != nil && !stopped.IsZero() && !errors.Is(o.err, os.ErrDeadlineExceeded) &&
		o.ended.After(stopped) && o.ended.Sub(stopped) < graceS+time.Second && o.ended.Sub(o.sent) < timeout
}

// storeLarge stores the rows that the clients read.
func storeLarge(d *deployment) error {
	c, err := dial(d.address(2, frontendPort), "db-svc1a", link{})
	if err != nil {
		return err
	}
	defer c.conn.Close()

	for stored, tries := 0, 0; stored < rowCount; tries++ {
		a, _, err := c.query(requestID(), "STORE large "+strings.Repeat("x", rowBytes), 4*time.Second)

		switch {
		case err != nil:
			return err
		case a.fault == "":
			stored++
		case tries > 50:
			return fmt.Errorf("the large rows can't be stored: %s", a.fault)
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}

	return nil
}
