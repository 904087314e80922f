package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	relayMemoryMB   = 136 // of the machines of benammar-palettes-grown
	relayConns      = 2   // connections of a member: two of the three proxies hold one, the third relays its statements
	relayWork       = time.Millisecond
	relayServices   = 8
	relaySessions   = 40 // of the crowd, at each proxy
	relayAhead      = 16 // reads that a session sends before it reads the answers
	relayTime       = 100 * time.Second
	relayCalmPause  = 500 * time.Millisecond
	relayRestart    = 500 * time.Millisecond // from an end of a process to its next start
	relayEnds       = 3
	relayMachines   = 2
	relayWatchPause = 50 * time.Millisecond
)

// playRelayMemory lets a crowd of clients read, where proxies relay a part of the statements to each other. A process that uses
// more than the memory of its machine is killed and started again, as the platform does.
func playRelayMemory(r *record, trouble bool) (string, error) {
	var (
		services  []*service
		databases []string
	)

	for n := range relayServices {
		name := fmt.Sprintf("svc%d", n+1)
		s := newService(r, name, relayWork)
		s.maxConn, s.slots, s.quiet = relayConns, 6, true
		services = append(services, s)
		databases = append(databases, "db-"+name)
	}

	d, err := startServing(r, "read_your_writes", 1500*time.Millisecond, services...)
	if d != nil {
		defer d.stop()
	}

	if err != nil {
		return "", err
	}

	d.watchMemory(relayMemoryMB)

	var wait sync.WaitGroup

	end := time.Now().Add(relayTime)
	served := make([]int, machineCount*relaySessions)

	for n := range served {
		wait.Go(func() {
			for time.Now().Before(end) {
				served[n] += crowdSession(d.address(1+n%machineCount, frontendPort), databases[n/machineCount%len(databases)], end, trouble)

				time.Sleep(100 * time.Millisecond)
			}
		})
	}

	wait.Wait()

	total := 0
	for _, n := range served {
		total += n
	}

	r.add("served", "%d reads", total)

	machines, text := 0, []string{}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	for i := 1; i <= machineCount; i++ {
		text = append(text, strconv.Itoa(d.memoryEnds[i]))

		if d.memoryEnds[i] >= relayEnds {
			machines++
		}
	}

	r.add("ends", "over %d MB, by machine: %s", relayMemoryMB, strings.Join(text, ", "))

	if machines < relayMachines {
		return "", nil
	}

	return fmt.Sprintf("Fault: proxies ended over %d MB, by machine: %s", relayMemoryMB, strings.Join(text, ", ")), nil
}

// crowdSession reads in one session until it ends, and returns the number of reads that were served.
func crowdSession(address, database string, end time.Time, trouble bool) int {
	c, err := dial(address, database, link{})
	if err != nil {
		return 0
	}
	defer c.conn.Close()

	served := 0

	for time.Now().Before(end) {
		ahead := relayAhead

		if !trouble {
			time.Sleep(relayCalmPause)

			ahead = 1
		}

		var b strings.Builder
		for range ahead {
			fmt.Fprintf(&b, "QUERY %s FETCH 1a4\r\n", requestID())
		}

		_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))

		if _, err := c.conn.Write([]byte(b.String())); err != nil {
			return served
		}

		for range ahead {
			a, _, err := c.read()
			if err != nil {
				return served
			}

			if a.fault == "" {
				served++
			}
		}
	}

	return served
}

// watchMemory kills processes that use more memory than their machine has, and starts them again.
func (d *deployment) watchMemory(limitMB int) {
	d.memoryEnds = map[int]int{}

	for i := 1; i <= machineCount; i++ {
		go func() {
			for {
				select {
				case <-d.ended:
					return
				case <-time.After(relayWatchPause):
				}

				p := d.process(i, "proxy")

				mb := anonymousMB(p.command.Process.Pid)
				if mb <= limitMB {
					continue
				}

				d.record.add("memory", "proxy on machine %d uses %d MB", i, mb)

				_ = p.command.Process.Signal(syscall.SIGKILL)
				<-p.done

				d.mutex.Lock()
				d.memoryEnds[i]++
				d.mutex.Unlock()

				time.Sleep(relayRestart)

				if err := d.start(i, "proxy", false); err != nil {
					d.record.add("memory", "start: %v", err)

					return
				}
			}
		}()
	}
}

// anonymousMB returns the memory of a process without the pages of its program file, in megabytes.
func anonymousMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	_, rest, _ := strings.Cut(string(b), "RssAnon:")
	f := strings.Fields(rest)

	if len(f) == 0 {
		return 0
	}

	n, _ := strconv.Atoi(f[0])

	return n >> 10
}
