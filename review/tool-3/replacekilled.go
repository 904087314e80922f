package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	successor     = 4 // machine that is added
	removed       = 3
	wiped         = 2
	removedAfter  = 3 * time.Second // from the start of the successor
	catchUpS      = 4 * time.Second
	wipedAfter    = catchUpS + 500*time.Millisecond // from the start of the successor
	settleTime    = 40 * time.Second                // recoveryS is 12
	readBackTime  = 8 * time.Second                 // contactMs is 5,000
	readBackPause = 200 * time.Millisecond
)

// playReplaceKilled replaces a machine of the core by another one, without SIGTERM. Once the successor has had catchUpS, another
// machine loses its disk.
func playReplaceKilled(r *record, trouble bool) (string, error) {
	s := newService(r, "svc1a", 5*time.Millisecond)

	d, err := startServing(r, "primary", 1500*time.Millisecond, s)
	if d != nil {
		defer d.stop()
	}

	if err != nil {
		return "", err
	}

	time.Sleep(4 * time.Second)

	started := time.Now()

	if err := d.startMachine(successor); err != nil {
		return "", err
	}

	time.Sleep(removedAfter)
	d.kill(removed)

	if trouble {
		time.Sleep(time.Until(started.Add(wipedAfter)))
		d.kill(wiped)

		if err := os.RemoveAll(filepath.Join(d.folder, fmt.Sprintf("data-%d", wiped), "control")); err != nil {
			return "", err
		}

		r.add("disk", "machine %d has lost its disk, %d ms after the start of machine %d", wiped,
			time.Since(started).Milliseconds(), successor)
		time.Sleep(time.Second)

		if err := d.startMachine(wiped); err != nil {
			return "", err
		}
	}

	time.Sleep(settleTime)

	return d.readBack(), nil
}

// startMachine starts both roles of a machine, not for the first time.
func (d *deployment) startMachine(machine int) error {
	return errors.Join(d.start(machine, "control", false), d.start(machine, "proxy", false))
}

// kill ends the processes of a machine at once.
func (d *deployment) kill(machine int) {
	for _, role := range []string{"proxy", "control"} {
		if p := d.process(machine, role); p != nil {
			d.record.add("kill", "%s on machine %d", role, machine)

			_ = p.command.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// readBack reads the configuration again and again from all machines that run, and returns what breaks the rule.
func (d *deployment) readBack() string {
	client, last := &http.Client{Timeout: time.Second}, ""

	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(readBackPause) {
		for _, m := range []int{1, wiped, successor} {
			response, err := client.Get("http://" + d.address(m, controlPort) + "/-/config")
			if err != nil {
				last = err.Error()
				d.record.add("read", "machine %d: %v", m, err)

				continue
			}

			b, err := io.ReadAll(response.Body)
			response.Body.Close()
			d.record.add("read", "machine %d: %d, %d bytes, %v", m, response.StatusCode, len(b), err)

			if response.StatusCode == http.StatusOK && err == nil && string(b) == d.acknowledged {
				return ""
			}

			last = fmt.Sprintf("status %d, %d bytes", response.StatusCode, len(b))
		}
	}

	return "CONFIG: the acknowledged configuration doesn't come: " + last
}
